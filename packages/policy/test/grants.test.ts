import test from 'ava';
import fc from 'fast-check';
import {
  closeHolder,
  connectHolder,
  countFree,
  countRunning,
  createGrants,
  defaultGrantLimits,
  divideSlots,
  type GrantMode,
  releaseSlots,
  reserveSlots,
  setSlots,
  type SlotGrants,
  takeSlot,
  updateDemand,
  returnSlot,
} from '#policy';

const seed = 20;
const afterRetentionMs = defaultGrantLimits.slotRetentionMs + 1;

const countHeld = (grants: SlotGrants, epoch: number) => {
  const holder = grants.holders.get(epoch);
  return holder === undefined ? 0 : holder.granted + holder.running;
};
const divide = (grants: SlotGrants, now = 0, previousUser?: number) =>
  divideSlots(grants, now, previousUser).grants;

/** Connects entries 1 to `entries` one after another; each releases recalled slots. */
function connectAll(slots: number, entries: number): SlotGrants {
  let grants = createGrants(slots, 'ahead');
  for (let epoch = 1; epoch <= entries; epoch++) {
    const now = epoch - entries;
    let division = divideSlots(connectHolder(grants, epoch, now), now);
    while (division.recalled.size > 0 || division.nextDivisionAt < Infinity) {
      grants = division.grants;
      for (const [holder, count] of division.recalled) {
        grants = releaseSlots(grants, holder, count);
      }
      const later =
        division.nextDivisionAt < Infinity ? division.nextDivisionAt : now;
      division = divideSlots(grants, later);
    }
    grants = division.grants;
  }
  return grants;
}

function startTasks(
  grants: SlotGrants,
  epoch: number,
  tasks: number,
): SlotGrants {
  let next = grants;
  for (let i = 0; i < tasks; i++) next = takeSlot(next, epoch, true)!;
  return next;
}

test('entries that connect are granted equal shares', t => {
  const grants = connectAll(8, 4);
  t.deepEqual(
    [1, 2, 3, 4].map(epoch => countHeld(grants, epoch)),
    [2, 2, 2, 2],
  );
});

test('idle slots are recalled only while another entry waits', t => {
  const grants = connectAll(8, 2);
  t.is(divideSlots(grants, 50).recalled.size, 0);
  const waiting = updateDemand(startTasks(grants, 1, 4), 1, 3, 50);
  t.deepEqual([...divideSlots(waiting, 50).recalled], [[2, 3]]);
});

test('no recall goes to an entry with waiting tasks, nor twice to one within the interval', t => {
  const grants = startTasks(connectAll(8, 2), 1, 4);
  const both = updateDemand(updateDemand(grants, 1, 3, 50), 2, 6, 50);
  t.is(divideSlots(both, 50).recalled.size, 0);
  const recalled = divide(updateDemand(grants, 1, 3, 50), 50);
  t.is(divideSlots(recalled, 51).recalled.size, 0);
  t.is(divideSlots(recalled, 60).recalled.size, 1);
});

test('a freed slot goes to the waiting entry that holds the fewest', t => {
  const full = connectHolder(startTasks(connectAll(4, 1), 1, 4), 2, 0);
  const wanted = updateDemand(updateDemand(full, 1, 9, 50), 2, 9, 50);
  const division = divideSlots(returnSlot(wanted, 1), 50, 1);
  t.deepEqual([...division.granted], [[2, 1]]);
});

test('a freed slot returns to the entry that used it while no other waits', t => {
  const grants = startTasks(connectAll(8, 2), 1, 4);
  const division = divideSlots(returnSlot(grants, 1), afterRetentionMs, 1);
  t.deepEqual([...division.granted], [[1, 1]]);
});

test('reported demand expires', t => {
  const waiting = updateDemand(startTasks(connectAll(8, 2), 1, 4), 1, 3, 50);
  t.is(
    divideSlots(waiting, 50 + defaultGrantLimits.demandTtlMs).recalled.size,
    0,
  );
});

test('reservations are served round-robin', t => {
  let grants = createGrants(4, 'on-reservation');
  grants = connectHolder(connectHolder(grants, 1, 0), 2, 0);
  grants = reserveSlots(reserveSlots(grants, 1, 10), 2, 2);
  const {granted} = divideSlots(grants, 0);
  t.deepEqual(
    [...granted],
    [
      [1, 2],
      [2, 2],
    ],
  );
});

test('the slots of a disconnected entry are granted to others as its tasks end', t => {
  const grants = divide(closeHolder(startTasks(connectAll(8, 2), 1, 3), 1));
  t.is(countHeld(grants, 2), 5);
  t.is(countHeld(grants, 1), 3);
  t.is(countHeld(divide(returnSlot(grants, 1)), 2), 6);
});

test('slots in excess of a reduced total are recalled, and invalid grants are refused', t => {
  const grants = setSlots(connectAll(8, 2), 5);
  const {recalled} = divideSlots(grants, 50);
  t.is(
    [...recalled.values()].reduce((sum, one) => sum + one, 0),
    3,
  );
  const full = startTasks(startTasks(grants, 1, 4), 2, 1);
  t.is(takeSlot(full, 2, true), undefined);
});

const epochs = fc.integer({min: 1, max: 4});
const stepArbitrary = fc.oneof(
  fc.record({kind: fc.constant('connect' as const), epoch: epochs}),
  fc.record({kind: fc.constant('close' as const), epoch: epochs}),
  fc.record({
    kind: fc.constant('take' as const),
    epoch: epochs,
    granted: fc.boolean(),
  }),
  fc.record({kind: fc.constant('return' as const), epoch: epochs}),
  fc.record({
    kind: fc.constant('release' as const),
    epoch: epochs,
    slots: fc.nat(4),
  }),
  fc.record({
    kind: fc.constant('demand' as const),
    epoch: epochs,
    waiting: fc.nat(9),
  }),
  fc.record({
    kind: fc.constant('reserve' as const),
    epoch: epochs,
    slots: fc.nat(5),
  }),
);
type Step = typeof stepArbitrary extends fc.Arbitrary<infer One> ? One : never;

function applyStep(grants: SlotGrants, step: Step, now: number): SlotGrants {
  const {epoch} = step;
  switch (step.kind) {
    case 'connect':
      return connectHolder(grants, epoch, now);
    case 'close':
      return closeHolder(grants, epoch);
    case 'take':
      return takeSlot(grants, epoch, step.granted) ?? grants;
    case 'return':
      return (grants.holders.get(epoch)?.running ?? 0) > 0
        ? returnSlot(grants, epoch)
        : grants;
    case 'release':
      return releaseSlots(grants, epoch, step.slots);
    case 'demand':
      return updateDemand(grants, epoch, step.waiting, now);
    case 'reserve':
      return reserveSlots(grants, epoch, step.slots);
  }
}

for (const mode of ['ahead', 'on-reservation'] satisfies GrantMode[]) {
  test(`slots are conserved under any sequence of events, granted ${mode}`, t => {
    const steps = fc.array(stepArbitrary, {maxLength: 80});
    fc.assert(
      fc.property(fc.integer({min: 1, max: 12}), steps, (slots, all) => {
        let grants = createGrants(slots, mode);
        all.forEach((step, i) => {
          const running = countRunning(grants);
          grants = applyStep(grants, step, i * 7);
          t.true(Math.abs(countRunning(grants) - running) <= 1);
          grants = divide(grants, i * 7, step.epoch);
          const connected = [...grants.holders.values()].filter(
            holder => holder.connected,
          );
          t.true(countFree(grants) >= 0);
          t.true(countRunning(grants) <= slots);
          t.true([...grants.holders.values()].every(one => one.granted >= 0));
          if (mode === 'ahead' && connected.length > 0) {
            t.is(countFree(grants), 0);
          }
        });
      }),
      {seed, numRuns: 200},
    );
  });
}
