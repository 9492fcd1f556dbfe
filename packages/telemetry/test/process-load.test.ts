import test from 'ava';
import {pino} from 'pino';
import {MetricsRegistry, ProcessLoadReporter} from '#telemetry';

function createProcessLoad() {
  let now = 0;
  let usedUs = 0;
  const lines: Record<string, unknown>[] = [];
  const log = pino(
    {level: 'debug'},
    {write: (line: string) => lines.push(JSON.parse(line))},
  );
  const metrics = new MetricsRegistry({});
  const load = new ProcessLoadReporter({
    log,
    metrics,
    clock: {now: () => now},
    readProcessorUs: () => usedUs,
    describe: () => ({jobs: 3}),
  });
  const advance = (ms: number, coreMs: number) => {
    now += ms;
    usedUs += coreMs * 1000;
  };
  return {load, lines, metrics, advance};
}

test('a load report contains the CPU use in cores and the counts of the role', async t => {
  const {load, lines, metrics, advance} = createProcessLoad();
  advance(2000, 500);
  load.report();
  t.like(lines[0]!, {event: 'process-load', cores: 0.25, jobs: 3});
  load[Symbol.dispose]();
  t.regex(await metrics.render(), /wasabiring_process_cores 0.25/);
});

test('the beginning and the end of an overload are logged once each', t => {
  const {load, lines, advance} = createProcessLoad();
  const sampleRepeatedly = (lagMs: number) => {
    for (let i = 0; i < 40; i++) {
      advance(50 + lagMs, 0);
      load.lag.sample();
    }
    load.report();
    load.report();
  };
  sampleRepeatedly(200);
  t.true(load.lag.isOverloaded);
  sampleRepeatedly(0);
  t.false(load.lag.isOverloaded);
  load[Symbol.dispose]();
  const events = lines
    .map(({event}) => event)
    .filter(event => event !== 'process-load');
  t.deepEqual(events, ['overloaded', 'recovered']);
});
