import test from 'ava';
import fc from 'fast-check';
import type {PlacementPolicy} from '#model';
import {Slots} from '../src/slots.js';

const credit: PlacementPolicy = {kind: 'credit'};
const probe: PlacementPolicy = {kind: 'probe', probesPerTask: 2};
const random: PlacementPolicy = {kind: 'random'};

function makeSlots(
  total: number,
  policy: PlacementPolicy,
  ...epochs: number[]
): Slots<string> {
  const slots = new Slots<string>();
  slots.open(total, policy, 2 * total);
  for (const epoch of epochs) slots.connect(epoch, 0);
  return slots;
}

test('the credit policy grants slots in advance and grants a freed slot to the epoch that used it', t => {
  const slots = makeSlots(8, credit, 1, 2);
  t.deepEqual(
    slots.assignSlots(0).grants,
    new Map([
      [1, 4],
      [2, 4],
    ]),
  );
  t.true(slots.useGrant(1));
  slots.release(1, 0);
  t.deepEqual(slots.assignSlots(0).grants, new Map([[1, 1]]));
});

test('idle grants of a removed epoch are freed at once and its running tasks keep their slots', t => {
  const slots = makeSlots(4, credit, 1, 2);
  slots.assignSlots(0);
  slots.useGrant(1);
  slots.removeEpoch(1);
  t.deepEqual(slots.assignSlots(0).grants, new Map([[2, 1]]));
  slots.release(1, 0);
  t.deepEqual(slots.assignSlots(0).grants, new Map([[2, 1]]));
});

test('a start without a valid grant waits for a slot', t => {
  const slots = makeSlots(1, probe, 1);
  slots.reserve(1, 1);
  slots.assignSlots(0);
  t.true(slots.useGrant(1));
  t.false(slots.useGrant(1));
  t.true(slots.enqueue({epoch: 1, key: 'a', task: 'a'}));
  t.is(slots.assignSlots(0).starts.length, 0);
  slots.release(1, 0);
  t.is(slots.assignSlots(0).starts[0]!.key, 'a');
});

test('the random policy queues tasks up to the limit', t => {
  const slots = makeSlots(1, random, 1);
  const taken = ['a', 'b', 'c', 'd'].map(key =>
    slots.enqueue({epoch: 1, key, task: key}),
  );
  t.deepEqual(taken, [true, true, true, false]);
  t.is(slots.assignSlots(0).starts.length, 1);
  t.is(slots.queued, 2);
});

test('a smaller total recalls idle slots and starts no task beyond it', t => {
  const slots = makeSlots(4, probe, 1);
  slots.reserve(1, 4);
  slots.assignSlots(0);
  t.true(slots.useGrant(1));
  slots.open(1, probe, 2);
  t.deepEqual(slots.assignSlots(0).recalls, new Map([[1, 3]]));
  t.false(slots.useGrant(1));
  slots.releaseUnused(1, 2);
  t.is(slots.held, 1);
});

const epoch = fc.integer({min: 1, max: 4});
const action = fc.oneof(
  fc.record({kind: fc.constant('connect' as const), epoch}),
  fc.record({kind: fc.constant('disconnect' as const), epoch}),
  fc.record({kind: fc.constant('use' as const), epoch}),
  fc.record({kind: fc.constant('end' as const), epoch}),
  fc.record({kind: fc.constant('queue' as const), epoch}),
  fc.record({kind: fc.constant('wait' as const), epoch, n: fc.nat(9)}),
  fc.record({kind: fc.constant('reserve' as const), epoch, n: fc.nat(5)}),
  fc.record({kind: fc.constant('release' as const), epoch, n: fc.nat(5)}),
  fc.record({
    kind: fc.constant('policy' as const),
    policy: fc.constantFrom(credit, probe, random),
  }),
);

test('grants and running tasks never exceed the slots, and entries agree on their grants', t => {
  fc.assert(
    fc.property(fc.array(action, {maxLength: 80, size: 'max'}), actions => {
      const slots = makeSlots(5, credit);
      const granted = new Map<number, number>();
      const running = new Map<number, number>();
      const add = (map: Map<number, number>, key: number, n: number) =>
        map.set(key, (map.get(key) ?? 0) + n);
      const connected = new Set<number>();
      const reserved = new Set<number>();
      let keys = 0;
      let now = 0;
      for (const each of actions) {
        switch (each.kind) {
          case 'connect':
            slots.removeEpoch(each.epoch);
            slots.connect(each.epoch, now);
            connected.add(each.epoch);
            reserved.delete(each.epoch);
            granted.delete(each.epoch);
            break;
          case 'disconnect':
            slots.removeEpoch(each.epoch);
            connected.delete(each.epoch);
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
            slots.release(each.epoch, now);
            add(running, each.epoch, -1);
            break;
          case 'queue':
            if (!connected.has(each.epoch)) break;
            slots.enqueue({epoch: each.epoch, key: `${keys++}`, task: ''});
            break;
          case 'wait':
            slots.setWaiting(each.epoch, each.n, now);
            break;
          case 'reserve':
            slots.reserve(each.epoch, each.n);
            reserved.add(each.epoch);
            break;
          case 'release': {
            if (reserved.has(each.epoch)) break;
            const idle = granted.get(each.epoch) ?? 0;
            slots.releaseUnused(each.epoch, each.n);
            granted.set(each.epoch, Math.max(0, idle - each.n));
            break;
          }
          case 'policy':
            slots.open(5, each.policy, 10);
            break;
        }
        const {grants, starts} = slots.assignSlots((now += 3));
        for (const [key, n] of grants) add(granted, key, n);
        for (const start of starts) add(running, start.epoch, 1);
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
