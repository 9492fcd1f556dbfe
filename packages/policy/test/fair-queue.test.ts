import test from 'ava';
import fc from 'fast-check';
import PQueue from 'p-queue';
import {createFairQueueClass, FairQueue, type FairQueueOptions} from '#policy';

const seed = 1207;
const noop = async () => {};

function fill(...tasks: FairQueueOptions[]): FairQueue {
  const queue = new FairQueue();
  for (const options of tasks) queue.enqueue(noop, options);
  return queue;
}

/** Dequeues tasks and returns their options. */
function drain(queue: FairQueue, count = queue.size): FairQueueOptions[] {
  return Array.from({length: count}, () => {
    const next = queue.peek()!;
    queue.dequeue();
    return next;
  });
}

const listIds = (queue: FairQueue) => drain(queue).map(({id}) => id);
const repeat = (count: number, options: FairQueueOptions) =>
  Array.from({length: count}, () => options);

test('waiting teams are served in proportion to their weights', t => {
  const queue = fill(
    ...repeat(300, {team: 'a', weight: 3}),
    ...repeat(300, {team: 'b', weight: 1}),
  );
  const served = drain(queue, 200).filter(({team}) => team === 'a').length;
  t.true(Math.abs(served - 150) <= 1, `${served}`);
});

test('a changed weight applies from the next task on', t => {
  const queue = fill(...repeat(100, {team: 'a'}), ...repeat(100, {team: 'b'}));
  queue.setWeight('a', 4);
  const served = drain(queue, 50).filter(({team}) => team === 'a').length;
  t.true(Math.abs(served - 40) <= 1, `${served}`);
  t.throws(() => queue.setWeight('a', 0));
});

test('within a team, jobs that have started go first, then the earliest deadline', t => {
  const queue = fill(
    {id: 'late1', job: 'late', deadline: 30},
    {id: 'late2', job: 'late', deadline: 30},
    {id: 'soon', job: 'soon', deadline: 20},
  );
  t.is(queue.peek()?.id, 'soon');
  queue.dequeue();
  queue.dequeue();
  queue.enqueue(noop, {id: 'sooner', job: 'sooner', deadline: 1});
  queue.enqueue(noop, {
    id: 'retried',
    job: 'r',
    deadline: 99,
    isJobStarted: true,
  });
  t.deepEqual(listIds(queue), ['late2', 'retried', 'sooner']);
});

test('priority goes before deadline and can be changed', t => {
  const queue = fill(
    {id: 'a', deadline: 1},
    {id: 'b', deadline: 2, priority: 1},
    {id: 'c', deadline: 3},
  );
  queue.setPriority('c', 2);
  t.is(queue.filter({priority: 1}).length, 1);
  t.deepEqual(listIds(queue), ['c', 'b', 'a']);
  t.throws(() => queue.setPriority('c', 1), {message: /not in the queue/});
});

test('removed tasks are not served, and ids are unique', t => {
  const queue = fill({id: 'a', job: 'j'}, {id: 'b', job: 'j'}, {id: 'c'});
  t.throws(() => queue.enqueue(noop, {id: 'a'}), {message: /queued already/});
  queue.remove('a');
  queue.remove('a');
  t.is(queue.size, 2);
  t.deepEqual(listIds(queue), ['b', 'c']);
});

test('p-queue takes tasks from the given queue and aborts waiting ones', async t => {
  const fair = new FairQueue();
  const queue = new PQueue<FairQueue, FairQueueOptions>({
    autoStart: false,
    concurrency: 1,
    queueClass: createFairQueueClass(fair),
  });
  const order: string[] = [];
  const abort = new AbortController();
  const add = (id: string, deadline: number, signal?: AbortSignal) =>
    queue.add(async () => order.push(id), {id, deadline, signal});
  const aborted = add('x', 0, abort.signal);
  const rest = [add('late', 9), add('soon', 1)];
  abort.abort(new Error('cancelled'));
  await t.throwsAsync(aborted, {message: 'cancelled'});
  t.is(fair.size, 2);
  queue.start();
  await Promise.all(rest);
  t.deepEqual(order, ['soon', 'late']);
});

test('setting the concurrency of a paused queue starts exactly one task', t => {
  const fair = new FairQueue();
  const queue = new PQueue<FairQueue, FairQueueOptions>({
    autoStart: false,
    concurrency: 1,
    queueClass: createFairQueueClass(fair),
  });
  let started = 0;
  for (let i = 0; i < 5; i++) {
    void queue.add(() => new Promise(() => started++), {team: 'a'});
  }
  for (let i = 1; i <= 3; i++) {
    queue.concurrency = queue.pending + 1;
    queue.start();
    queue.pause();
    t.is(started, i);
  }
});

type Step =
  | {kind: 'add'; team: number; deadline: number; job: number}
  | {kind: 'take'}
  | {kind: 'remove'; pick: number}
  | {kind: 'prioritize'; pick: number; priority: number};

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('add' as const),
    team: fc.nat(4),
    deadline: fc.nat(20),
    job: fc.nat(6),
  }),
  fc.record({kind: fc.constant('take' as const)}),
  fc.record({kind: fc.constant('remove' as const), pick: fc.nat(50)}),
  fc.record({
    kind: fc.constant('prioritize' as const),
    pick: fc.nat(50),
    priority: fc.integer({min: -1, max: 1}),
  }),
);

test('under any sequence of operations every task leaves once and counts are consistent', t => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, {maxLength: 120}), steps => {
      const queue = new FairQueue();
      const waiting = new Map<string, string>();
      steps.forEach((step, i) => {
        const picked = [...waiting.keys()][
          'pick' in step ? step.pick % Math.max(1, waiting.size) : 0
        ];
        if (step.kind === 'add') {
          const team = `t${step.team}`;
          const job = `${team}j${step.job}`;
          queue.enqueue(noop, {id: `${i}`, team, job, deadline: step.deadline});
          waiting.set(`${i}`, team);
        } else if (step.kind === 'take') {
          const next = queue.peek();
          t.is(queue.dequeue() === undefined, next === undefined);
          t.is(waiting.delete(next?.id ?? ''), next !== undefined);
        } else if (picked !== undefined && step.kind === 'remove') {
          queue.remove(picked);
          waiting.delete(picked);
        } else if (picked !== undefined && step.kind === 'prioritize') {
          queue.setPriority(picked, step.priority);
        }
        t.is(queue.size, waiting.size);
        const ofFirst = [...waiting.values()].filter(team => team === 't0');
        t.is(queue.countWaiting('t0'), ofFirst.length);
      });
      t.deepEqual(listIds(queue).sort(), [...waiting.keys()].sort());
    }),
    {seed, numRuns: 200},
  );
});

test('the service of two waiting teams deviates from their weights by at most one task each', t => {
  const weights = fc.array(fc.integer({min: 1, max: 8}), {
    minLength: 2,
    maxLength: 6,
  });
  fc.assert(
    fc.property(weights, fc.integer({min: 20, max: 150}), (shares, count) => {
      const queue = fill(
        ...shares.flatMap((weight, i) =>
          repeat(count, {team: `t${i}`, weight}),
        ),
      );
      const served = shares.map(() => 0);
      while (shares.every((_, i) => queue.countWaiting(`t${i}`) > 0)) {
        served[Number(drain(queue, 1)[0]!.team!.slice(1))]++;
        const normalized = served.map((tasks, i) => tasks / shares[i]!);
        for (const [i, one] of normalized.entries()) {
          for (const [k, other] of normalized.entries()) {
            const bound = 1 / shares[i]! + 1 / shares[k]! + 1e-9;
            t.true(Math.abs(one - other) <= bound);
          }
        }
      }
    }),
    {seed, numRuns: 60},
  );
});

test('a newly active team does not wait for the backlog of others', t => {
  const queue = fill(...repeat(1000, {team: 'busy', weight: 100}));
  drain(queue, 500);
  queue.enqueue(noop, {team: 'late', weight: 1});
  const position = drain(queue).findIndex(({team}) => team === 'late');
  t.true(position <= 100, `${position}`);
});
