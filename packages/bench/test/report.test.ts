import test from 'ava';
import {formatRows, parseRows, renderPage, type ReportRow} from '#bench';

const summary = {
  team: 'a<b',
  service: 'tally',
  measure: 'response',
  count: 4,
  mean: 20,
  p50: 10,
  p90: 30,
  p99: 40,
  max: 41,
} as const;

const rows: readonly ReportRow[] = [
  {
    kind: 'run',
    seed: 1,
    repeats: 2,
    startedAt: '2030-01-01T00:00:00.000Z',
    processors: 4,
    loadAverage: 1.5,
  },
  ...['random', 'credit'].flatMap(policy =>
    [0.3, 0.9].map(load => ({
      kind: 'placement' as const,
      policy,
      load,
      seed: 1,
      jobs: 10,
      complete: 10,
      p50Ms: 5,
      p99Ms: 50 * load,
      wastedPerJob: 1,
      loadAverage: 1,
    })),
  ),
  {kind: 'histogram', entry: 'entry-0', summary},
  {
    kind: 'recovery',
    victim: 'entry',
    seed: 1,
    killedAtMs: 1000,
    restartedAtMs: 2000,
    binMs: 500,
    finished: [10, 12, 0, 4, 9, 11],
    jobs: 20,
    complete: 19,
    unknown: 1,
    loadAverage: 1,
  },
];

test('parsing formatted rows returns the original rows', t => {
  t.deepEqual(parseRows(formatRows(rows)), rows);
});

test('a page contains the plots of each kind and loads no other resource', t => {
  const page = renderPage(rows);
  t.is(page.match(/<svg /g)?.length, 5);
  t.false(
    /<(script|link|img|iframe)|url\((?!#)|@import|(src|href)=(?!"#)/.test(page),
  );
  t.false(page.includes('NaN'));
});

test('names from the measured site are escaped', t => {
  const page = renderPage(rows);
  t.true(page.includes('a&lt;b'));
  t.false(page.includes('a<b'));
});

test('a page reports a failed experiment', t => {
  const failure = {
    kind: 'failure',
    experiment: 'recovery of entry',
    detail: 'not ready',
  } as const;
  t.true(renderPage([failure]).includes('recovery of entry. not ready'));
});

test('a page without rows of a kind omits their plots', t => {
  t.false(renderPage(rows.slice(0, 1)).includes('<svg '));
});
