import test from 'ava';
import fc from 'fast-check';
import type {TaskRecord} from '#protocol';
import {type FencePage, Ledger} from '../src/ledger.js';

const ref = (task: number) => ({job: 'j', task});
const done = {kind: 'succeeded', result: 1} as const;
const makeLedger = (maxBytes = 1000, maxRecords = 2) =>
  new Ledger(maxBytes, 0, {maxRecords, maxBytes: 5});
const far = 1e9;
const all = Infinity;

/** Fences page by page; `between` runs after each page but the last. */
function fenceAll(
  ledger: Ledger,
  epochs: readonly number[],
  heir: number,
  between = () => {},
) {
  const records: TaskRecord[] = [];
  for (let after: number | undefined = 0; after !== undefined;) {
    const page: FencePage = ledger.fence(epochs, heir, after);
    records.push(...page.records);
    after = page.next;
    if (after !== undefined) between();
  }
  return records;
}

test('a duplicate start is told the first fate', t => {
  const ledger = makeLedger();
  t.is(ledger.start(1, ref(0), far).kind, 'first');
  t.is(ledger.start(1, ref(0), far).kind, 'duplicate');
  ledger.end(ref(0), done, 1, 5);
  t.is(ledger.takeReports(1, all).length, 1);
  t.is(ledger.start(1, ref(0), far).kind, 'duplicate');
  t.deepEqual(ledger.takeReports(1, all), [{...ref(0), fate: done, runMs: 5}]);
  t.is(ledger.pendingReports, 0);
});

test('a task that provably did not run may be started again', t => {
  const ledger = makeLedger();
  ledger.start(1, ref(0), far);
  ledger.forget(ref(0));
  t.deepEqual(ledger.query(1, ref(0)), {kind: 'never-started'});
  t.is(ledger.start(1, ref(0), far).kind, 'first');
});

test('a fence lists what the epochs started and hands the rest to the last heir', t => {
  const ledger = makeLedger();
  ledger.start(1, ref(0), far);
  ledger.start(1, ref(1), far);
  ledger.start(5, ref(2), far);
  ledger.end(ref(0), done, 1, 0);
  t.deepEqual(fenceAll(ledger, [1], 2), [
    {...ref(0), standing: {kind: 'ended', fate: done}},
    {...ref(1), standing: {kind: 'running'}},
  ]);
  t.deepEqual(fenceAll(ledger, [2], 3), [
    {...ref(0), standing: {kind: 'ended', fate: done}},
    {...ref(1), standing: {kind: 'running'}},
  ]);
  t.true(ledger.isBarred(1) && ledger.isBarred(2) && !ledger.isBarred(3));
  ledger.end(ref(1), done, 1, 0);
  t.deepEqual(ledger.takeReports(1, all), []);
  t.deepEqual(ledger.takeReports(2, all), []);
  t.is(ledger.takeReports(3, all).length, 1);
});

test('the pages of a fence stay whole while tasks end, vanish and start', t => {
  const ledger = makeLedger();
  for (let i = 0; i < 7; i++) ledger.start(1, ref(i), far);
  ledger.end(ref(1), done, 1, 0);
  let pages = 1;
  const records = fenceAll(ledger, [1], 2, () => {
    if (pages === 1) ledger.end(ref(2), done, 9, 0);
    if (pages === 1) ledger.forget(ref(3));
    if (pages === 1) ledger.start(2, ref(3), far);
    if (pages === 2) ledger.end(ref(0), done, 1, 0);
    pages++;
  });
  t.deepEqual(
    records.map(({task, standing}) => `${task} ${standing.kind}`),
    ['0 running', '1 ended', '2 ended', '4 running', '5 running', '6 running'],
  );
  t.is(pages, 4);
  t.true(ledger.isBarred(1));
  t.deepEqual(
    ledger.takeReports(2, all).map(({task}) => task),
    [2, 0],
  );
});

test('a fence that arrives late does not give tasks back to a barred heir', t => {
  const ledger = makeLedger();
  ledger.start(1, ref(0), far);
  ledger.fence([1, 2], 3);
  ledger.fence([1], 2);
  t.deepEqual(ledger.resolveOwners(ref(0)), [3]);
});

test('results beyond the bound give way, told ones first, and starts stay', t => {
  const ledger = makeLedger(10);
  for (const i of [0, 1, 2]) {
    ledger.start(i === 0 ? 2 : 1, ref(i), far);
    ledger.end(ref(i), done, 5, 0);
    ledger.takeReports(1, all);
  }
  const lost = {
    kind: 'ended',
    fate: {kind: 'unknown', detail: 'the answer is no longer kept'},
  };
  t.deepEqual(ledger.query(2, ref(0)), {kind: 'ended', fate: done});
  t.deepEqual(ledger.query(1, ref(1)), lost as never);
  t.is(ledger.start(1, ref(1), far).kind, 'duplicate');
});

test('a task is forgotten after its deadline, a running one only once it has ended', t => {
  const ledger = makeLedger();
  ledger.start(1, ref(0), 5000);
  ledger.start(1, ref(1), 5000);
  ledger.end(ref(0), done, 1, 0);
  ledger.sweep(4999);
  t.is(ledger.size, 2);
  ledger.sweep(7000);
  t.is(ledger.size, 1);
  ledger.end(ref(1), done, 1, 0);
  ledger.sweep(10_000);
  t.is(ledger.size, 0);
  t.is(ledger.pendingReports, 0);
});

test('reports are taken in portions of bytes', t => {
  const ledger = makeLedger();
  for (const i of [0, 1, 2]) {
    ledger.start(1, ref(i), far);
    ledger.end(ref(i), done, 10, 0);
  }
  t.is(ledger.takeReports(1, 15).length, 2);
  t.is(ledger.takeReports(1, 15).length, 1);
});

const epoch = fc.integer({min: 1, max: 4});
const task = fc.integer({min: 0, max: 3});
const step = fc.oneof(
  fc.record({kind: fc.constant('start' as const), epoch, task}),
  fc.record({kind: fc.constant('end' as const), task}),
  fc.record({kind: fc.constant('forget' as const), task}),
  fc.record({kind: fc.constant('query' as const), epoch, task}),
  fc.record({kind: fc.constant('take' as const), epoch}),
  fc.record({
    kind: fc.constant('fence' as const),
    epochs: fc.uniqueArray(epoch, {minLength: 1, maxLength: 3}),
    heir: epoch,
  }),
  fc.record({kind: fc.constant('sweep' as const), ms: fc.nat(3000)}),
);

test('no interleaving starts a task twice or loses a fate', t => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60, size: 'max'}), steps => {
      const ledger = makeLedger(12);
      const model = new Map<number, 'running' | 'ended'>();
      const owed = new Map<number, Set<number>>();
      let now = 0;
      for (const each of steps) {
        switch (each.kind) {
          case 'start': {
            if (ledger.isBarred(each.epoch)) break;
            const verdict = ledger.start(each.epoch, ref(each.task), now + far);
            const known = model.has(each.task);
            if (known !== (verdict.kind === 'duplicate')) return false;
            if (!known) model.set(each.task, 'running');
            break;
          }
          case 'end':
            if (model.get(each.task) !== 'running') break;
            model.set(each.task, 'ended');
            owed.set(each.task, new Set(ledger.resolveOwners(ref(each.task))));
            ledger.end(ref(each.task), done, 5, 0);
            break;
          case 'forget':
            if (model.get(each.task) !== 'running') break;
            model.delete(each.task);
            ledger.forget(ref(each.task));
            break;
          case 'query': {
            const standing = ledger.query(each.epoch, ref(each.task));
            const expected = model.get(each.task) ?? 'never-started';
            if (standing.kind !== expected) return false;
            owed.get(each.task)?.delete(each.epoch);
            break;
          }
          case 'take':
            for (const report of ledger.takeReports(each.epoch, all)) {
              if (model.get(report.task) !== 'ended') return false;
              owed.get(report.task)?.delete(each.epoch);
            }
            break;
          case 'fence': {
            const listed = fenceAll(ledger, each.epochs, each.heir);
            for (const {task} of listed) {
              if (!model.has(task)) return false;
              for (const fenced of each.epochs) {
                if (fenced !== each.heir) owed.get(task)?.delete(fenced);
              }
            }
            break;
          }
          case 'sweep':
            ledger.sweep((now += each.ms));
            break;
        }
      }
      for (const [task, epochs] of owed) {
        for (const each of epochs) {
          const told = ledger.takeReports(each, all);
          for (const report of told) owed.get(report.task)?.delete(each);
        }
        if (epochs.size > 0) throw new Error(`task ${task} was not told`);
      }
      return true;
    }),
    {seed: 20_261, numRuns: 2000},
  );
  t.pass();
});
