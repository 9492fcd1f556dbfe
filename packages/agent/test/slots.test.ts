import test from 'ava';
import fc from 'fast-check';
import {divideSlots} from '../src/division.js';
import {type SlotMode, Slots} from '../src/slots.js';

function makeSlots(total: number, mode: SlotMode, ...epochs: number[]) {
  const slots = new Slots<string>();
  slots.setTotal(total);
  slots.setMode(mode);
  slots.setMaxQueued(2 * total);
  for (const epoch of epochs) slots.connect(epoch);
  return slots;
}

test('credit divides the slots ahead and returns a slot to the entry that used it', t => {
  const slots = makeSlots(8, 'credit', 1, 2);
  t.deepEqual(
    [...slots.settle().grants],
    [
      [1, 4],
      [2, 4],
    ],
  );
  t.true(slots.useGrant(1));
  slots.release(1);
  t.deepEqual([...slots.settle().grants], [[1, 1]]);
});

test('credit recalls idle slots only for an entry that waits', t => {
  const slots = makeSlots(8, 'credit', 1, 2);
  slots.settle();
  for (let i = 0; i < 4; i++) slots.useGrant(1);
  t.is(slots.settle().recalls.size, 0);
  slots.setWaiting(1, 2);
  t.deepEqual([...slots.settle().recalls], [[2, 2]]);
  t.is(slots.settle().recalls.size, 0);
  slots.giveBack(2, 2);
  t.deepEqual([...slots.settle().grants], [[1, 2]]);
});

test('a new entry is dealt in at once', t => {
  const slots = makeSlots(8, 'credit', 1);
  t.deepEqual([...slots.settle().grants], [[1, 8]]);
  slots.connect(2);
  t.deepEqual([...slots.settle().recalls], [[1, 4]]);
});

test('idle grants of an entry that is gone come back at once, its running tasks go on', t => {
  const slots = makeSlots(4, 'credit', 1, 2);
  slots.settle();
  slots.useGrant(1);
  slots.lose(1);
  t.deepEqual([...slots.settle().grants], [[2, 1]]);
  slots.release(1);
  t.deepEqual([...slots.settle().grants], [[2, 1]]);
});

test('probe grants reservations first come first served', t => {
  const slots = makeSlots(2, 'probe', 1, 2);
  slots.reserve(1, 2);
  slots.reserve(2, 1);
  t.deepEqual([...slots.settle().grants], [[1, 2]]);
  slots.giveBack(1, 1);
  t.deepEqual([...slots.settle().grants], [[2, 1]]);
});

test('a start beyond the grants takes the place of a reservation', t => {
  const slots = makeSlots(1, 'probe', 1);
  slots.reserve(1, 2);
  slots.settle();
  slots.useGrant(1);
  t.true(slots.enqueue({epoch: 1, key: 'a', task: 'a'}));
  slots.release(1);
  const {grants, starts} = slots.settle();
  t.is(grants.size, 0);
  t.is(starts[0]!.key, 'a');
});

test('random queues up to its bound', t => {
  const slots = makeSlots(1, 'random', 1);
  const taken = ['a', 'b', 'c', 'd'].map(key =>
    slots.enqueue({epoch: 1, key, task: key}),
  );
  t.deepEqual(taken, [true, true, true, false]);
  t.is(slots.settle().starts.length, 1);
  t.is(slots.queued, 2);
});

test('ten thousand queued tasks are taken out one by one', t => {
  const slots = makeSlots(10_000, 'random', 1);
  slots.setTotal(0);
  for (let i = 0; i < 10_000; i++) {
    slots.enqueue({epoch: 1, key: String(i), task: ''});
  }
  for (let i = 0; i < 10_000; i++) t.true(slots.dequeue(String(i), 1));
  t.is(slots.queued, 0);
});

test('a smaller total asks idle slots back', t => {
  const slots = makeSlots(4, 'probe', 1);
  slots.reserve(1, 4);
  slots.settle();
  slots.setTotal(1);
  t.deepEqual([...slots.settle().recalls], [[1, 3]]);
});

const claimants = fc.array(
  fc.record({running: fc.nat(10), waiting: fc.nat(20)}),
  {minLength: 1, maxLength: 6},
);

test('shares add up to the slots and none exceeds its want while another lacks', t => {
  fc.assert(
    fc.property(fc.nat(40), claimants, (total, wants) => {
      const list = wants.map((each, epoch) => ({...each, epoch}));
      const shares = divideSlots(total, list);
      const sum = [...shares.values()].reduce((a, b) => a + b, 0);
      const want = list.map(({running, waiting}) => running + waiting);
      const lacks = list.some((_, i) => shares.get(i)! < want[i]!);
      const spare = list.some((_, i) => shares.get(i)! > want[i]!);
      return sum === total && !(lacks && spare);
    }),
    {seed: 20_262, numRuns: 2000},
  );
  t.pass();
});

const epoch = fc.integer({min: 1, max: 4});
const act = fc.oneof(
  fc.record({kind: fc.constant('connect' as const), epoch}),
  fc.record({kind: fc.constant('lose' as const), epoch}),
  fc.record({kind: fc.constant('use' as const), epoch}),
  fc.record({kind: fc.constant('end' as const), epoch}),
  fc.record({kind: fc.constant('queue' as const), epoch}),
  fc.record({kind: fc.constant('wait' as const), epoch, n: fc.nat(9)}),
  fc.record({kind: fc.constant('reserve' as const), epoch, n: fc.nat(5)}),
  fc.record({kind: fc.constant('back' as const), epoch, n: fc.nat(5)}),
  fc.record({
    kind: fc.constant('mode' as const),
    mode: fc.constantFrom('credit', 'probe', 'random' as const),
  }),
  fc.record({kind: fc.constant('settle' as const)}),
);

test('grants and running tasks never exceed the slots, and entries agree on their grants', t => {
  fc.assert(
    fc.property(fc.array(act, {maxLength: 80}), acts => {
      const slots = makeSlots(5, 'credit');
      const granted = new Map<number, number>();
      const running = new Map<number, number>();
      const add = (map: Map<number, number>, key: number, n: number) =>
        map.set(key, (map.get(key) ?? 0) + n);
      let keys = 0;
      for (const each of acts) {
        switch (each.kind) {
          case 'connect':
            slots.connect(each.epoch);
            break;
          case 'lose':
            slots.lose(each.epoch);
            granted.delete(each.epoch);
            break;
          case 'use':
            if (slots.useGrant(each.epoch)) {
              if (!granted.get(each.epoch)) return false;
              add(granted, each.epoch, -1);
              add(running, each.epoch, 1);
            }
            break;
          case 'end':
            if (!running.get(each.epoch)) break;
            slots.release(each.epoch);
            add(running, each.epoch, -1);
            break;
          case 'queue':
            slots.enqueue({epoch: each.epoch, key: `${keys++}`, task: ''});
            break;
          case 'wait':
            slots.setWaiting(each.epoch, each.n);
            break;
          case 'reserve':
            slots.reserve(each.epoch, each.n);
            break;
          case 'back': {
            const idle = granted.get(each.epoch) ?? 0;
            slots.giveBack(each.epoch, each.n);
            granted.set(each.epoch, Math.max(0, idle - each.n));
            break;
          }
          case 'mode':
            slots.setMode(each.mode as SlotMode);
            break;
          case 'settle': {
            const {grants, starts} = slots.settle();
            for (const [key, n] of grants) add(granted, key, n);
            for (const start of starts) add(running, start.epoch, 1);
          }
        }
        const sum = (map: Map<number, number>) =>
          [...map.values()].reduce((a, b) => a + b, 0);
        if (slots.held > 5) return false;
        if (slots.held !== sum(granted) + sum(running)) return false;
      }
      return true;
    }),
    {seed: 20_263, numRuns: 3000},
  );
  t.pass();
});
