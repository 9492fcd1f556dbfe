import test from 'ava';
import fc from 'fast-check';
import type {TaskRecord} from '#protocol';
import {type FencePage, TaskTable} from '../src/task-table.js';

const ref = (task: number) => ({job: 'j', task});
const succeeded = {kind: 'succeeded', result: 1} as const;
const makeTable = (maxBytes = 1000, maxRecords = 2) =>
  new TaskTable(maxBytes, 0, {maxRecords, maxBytes: 5});
const farFuture = 1e9;
const unlimitedBytes = Infinity;

/** Fences page by page; `between` runs after each page but the last. */
function fenceAll(
  table: TaskTable,
  epochs: readonly number[],
  successor: number,
  between = () => {},
) {
  const records: TaskRecord[] = [];
  for (let after: number | undefined = 0; after !== undefined;) {
    const page: FencePage = table.fence(epochs, successor, after);
    records.push(...page.records);
    after = page.next;
    if (after !== undefined) between();
  }
  return records;
}

test('a duplicate start gets the outcome of the first one', t => {
  const table = makeTable();
  t.is(table.start(1, ref(0), farFuture).kind, 'first');
  t.is(table.start(1, ref(0), farFuture).kind, 'duplicate');
  table.end(ref(0), succeeded, 1, 5);
  t.is(table.takeReports(1, unlimitedBytes).length, 1);
  t.is(table.start(1, ref(0), farFuture).kind, 'duplicate');
  t.deepEqual(table.takeReports(1, unlimitedBytes), [
    {...ref(0), fate: succeeded, runMs: 5},
  ]);
  t.is(table.pendingReports, 0);
});

test('a task that did not run may be started again', t => {
  const table = makeTable();
  table.start(1, ref(0), farFuture);
  table.forget(ref(0));
  t.deepEqual(table.query(1, ref(0)), {kind: 'never-started'});
  t.is(table.start(1, ref(0), farFuture).kind, 'first');
});

test('a fence lists the tasks of the epochs, and later outcomes go to the last successor', t => {
  const table = makeTable();
  table.start(1, ref(0), farFuture);
  table.start(1, ref(1), farFuture);
  table.start(5, ref(2), farFuture);
  table.end(ref(0), succeeded, 1, 0);
  t.deepEqual(fenceAll(table, [1], 2), [
    {...ref(0), standing: {kind: 'ended', fate: succeeded}},
    {...ref(1), standing: {kind: 'running'}},
  ]);
  t.deepEqual(fenceAll(table, [2], 3), [
    {...ref(0), standing: {kind: 'ended', fate: succeeded}},
    {...ref(1), standing: {kind: 'running'}},
  ]);
  t.true(table.isFenced(1) && table.isFenced(2) && !table.isFenced(3));
  table.end(ref(1), succeeded, 1, 0);
  t.deepEqual(table.takeReports(1, unlimitedBytes), []);
  t.deepEqual(table.takeReports(2, unlimitedBytes), []);
  t.is(table.takeReports(3, unlimitedBytes).length, 1);
});

test('the pages of a fence stay complete while tasks end, are removed and start', t => {
  const table = makeTable();
  for (let i = 0; i < 7; i++) table.start(1, ref(i), farFuture);
  table.end(ref(1), succeeded, 1, 0);
  let pages = 1;
  const records = fenceAll(table, [1], 2, () => {
    if (pages === 1) table.end(ref(2), succeeded, 9, 0);
    if (pages === 1) table.forget(ref(3));
    if (pages === 1) table.start(2, ref(3), farFuture);
    if (pages === 2) table.end(ref(0), succeeded, 1, 0);
    pages++;
  });
  t.deepEqual(
    records.map(({task, standing}) => `${task} ${standing.kind}`),
    ['0 running', '1 ended', '2 ended', '4 running', '5 running', '6 running'],
  );
  t.is(pages, 4);
  t.true(table.isFenced(1));
  t.deepEqual(
    table.takeReports(2, unlimitedBytes).map(({task}) => task),
    [2, 0],
  );
});

test('a late fence does not give tasks back to a fenced successor', t => {
  const table = makeTable();
  table.start(1, ref(0), farFuture);
  table.fence([1, 2], 3);
  table.fence([1], 2);
  t.deepEqual(table.resolveOwners(ref(0)), [3]);
});

test('results over the limit are evicted, delivered ones first, and the starts stay on record', t => {
  const table = makeTable(10);
  for (const i of [0, 1, 2]) {
    table.start(i === 0 ? 2 : 1, ref(i), farFuture);
    table.end(ref(i), succeeded, 5, 0);
    table.takeReports(1, unlimitedBytes);
  }
  const lost = {
    kind: 'ended',
    fate: {kind: 'unknown', detail: 'the answer is no longer kept'},
  };
  t.deepEqual(table.query(2, ref(0)), {kind: 'ended', fate: succeeded});
  t.deepEqual(table.query(1, ref(1)), lost as never);
  t.is(table.start(1, ref(1), farFuture).kind, 'duplicate');
});

test('a task is removed after its deadline, a running one only once it has ended', t => {
  const table = makeTable();
  table.start(1, ref(0), 5000);
  table.start(1, ref(1), 5000);
  table.end(ref(0), succeeded, 1, 0);
  table.sweep(4999);
  t.is(table.size, 2);
  table.sweep(7000);
  t.is(table.size, 1);
  table.end(ref(1), succeeded, 1, 0);
  table.sweep(10_000);
  t.is(table.size, 0);
  t.is(table.pendingReports, 0);
});

test('reports are taken in batches limited by size', t => {
  const table = makeTable();
  for (const i of [0, 1, 2]) {
    table.start(1, ref(i), farFuture);
    table.end(ref(i), succeeded, 10, 0);
  }
  t.is(table.takeReports(1, 15).length, 2);
  t.is(table.takeReports(1, 15).length, 1);
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

test('no interleaving starts a task twice or loses an outcome', t => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60, size: 'max'}), steps => {
      const table = makeTable(12);
      const model = new Map<number, 'running' | 'ended'>();
      const undelivered = new Map<number, Set<number>>();
      let now = 0;
      for (const each of steps) {
        switch (each.kind) {
          case 'start': {
            if (table.isFenced(each.epoch)) break;
            const result = table.start(
              each.epoch,
              ref(each.task),
              now + farFuture,
            );
            const known = model.has(each.task);
            if (known !== (result.kind === 'duplicate')) return false;
            if (!known) model.set(each.task, 'running');
            break;
          }
          case 'end':
            if (model.get(each.task) !== 'running') break;
            model.set(each.task, 'ended');
            undelivered.set(
              each.task,
              new Set(table.resolveOwners(ref(each.task))),
            );
            table.end(ref(each.task), succeeded, 5, 0);
            break;
          case 'forget':
            if (model.get(each.task) !== 'running') break;
            model.delete(each.task);
            table.forget(ref(each.task));
            break;
          case 'query': {
            const standing = table.query(each.epoch, ref(each.task));
            const expected = model.get(each.task) ?? 'never-started';
            if (standing.kind !== expected) return false;
            undelivered.get(each.task)?.delete(each.epoch);
            break;
          }
          case 'take':
            for (const report of table.takeReports(
              each.epoch,
              unlimitedBytes,
            )) {
              if (model.get(report.task) !== 'ended') return false;
              undelivered.get(report.task)?.delete(each.epoch);
            }
            break;
          case 'fence': {
            const listed = fenceAll(table, each.epochs, each.heir);
            for (const {task} of listed) {
              if (!model.has(task)) return false;
              for (const fenced of each.epochs) {
                if (fenced !== each.heir) undelivered.get(task)?.delete(fenced);
              }
            }
            break;
          }
          case 'sweep':
            table.sweep((now += each.ms));
            break;
        }
      }
      for (const [task, epochs] of undelivered) {
        for (const each of epochs) {
          const reports = table.takeReports(each, unlimitedBytes);
          for (const report of reports)
            undelivered.get(report.task)?.delete(each);
        }
        if (epochs.size > 0)
          throw new Error(`the outcome of task ${task} was not reported`);
      }
      return true;
    }),
    {seed: 20_261, numRuns: 2000},
  );
  t.pass();
});
