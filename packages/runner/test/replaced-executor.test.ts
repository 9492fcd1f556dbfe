import test from 'ava';
import {sleep, startRunner, waitUntil} from './harness.js';

const roomWith = (labels: readonly string[], cpuMillis = 4000) => ({
  kind: 'room' as const,
  cpuMillis,
  memoryMb: 4096,
  accelerators: 0,
  labels,
});

const replacements = [
  {
    what: 'without the label that a task requires',
    first: {room: roomWith(['a'])},
    next: {room: roomWith(['b'])},
    needs: {requiredLabel: 'a'},
  },
  {
    what: 'of another service',
    first: {},
    next: {service: 'renewal'},
    needs: {service: 'tally'},
  },
  {
    what: 'that is too small for a task',
    first: {},
    next: {room: roomWith([], 500)},
    needs: {},
  },
];

for (const {what, first, next, needs} of replacements) {
  for (const incarnation of [1, 2]) {
    const how = incarnation === 1 ? 'turns into one' : 'is replaced by one';
    test(`a run is returned as not begun when its executor ${how} ${what}`, async t => {
      await using harness = await startRunner();
      const {executor} = harness;
      harness.announce(first);
      const dispatcher = await harness.attach('d');
      dispatcher.place(1, 0, 1, needs);
      await waitUntil(() => executor.starts.length === 1);
      executor.end(executor.starts[0]!, 'succeeded');
      await waitUntil(() => dispatcher.ends.length === 1);
      harness.announce({...next, incarnation});
      // A new incarnation gets no runs before it has answered.
      await sleep(100);
      dispatcher.place(2, 1, 1, needs);
      await waitUntil(() => dispatcher.ends.length === 2);
      t.deepEqual(dispatcher.ends[1]!.slice(0, 2), [2, 'not-run']);
      await sleep(50);
      t.is(executor.starts.length, 1);
    });
  }

  test(`a run that waits is returned as not begun when its executor turns into one ${what}`, async t => {
    await using harness = await startRunner();
    const {executor} = harness;
    harness.announce(first);
    const dispatcher = await harness.attach('d');
    for (let i = 0; i < 5; i++) dispatcher.place(i + 1, i, 1, needs);
    await waitUntil(() => executor.starts.length === 4);
    harness.announce(next);
    await waitUntil(() => dispatcher.ends.length === 1);
    t.deepEqual(dispatcher.ends[0]!.slice(0, 2), [5, 'not-run']);
  });
}

test('dispatchers learn from the runner what an executor has turned into', async t => {
  await using harness = await startRunner();
  const dispatcher = await harness.attach('d');
  const room = roomWith(['b']);
  harness.announce({room, incarnation: 2});
  await waitUntil(() => dispatcher.reports.some(({executor}) => executor));
  const [report] = dispatcher.reports.filter(({executor}) => executor);
  t.deepEqual(report!.executor, {service: 'tally', capacity: room});
});
