import test from 'ava';
import {pino} from 'pino';
import {MetricsRegistry, ProcessLoad} from '#telemetry';

function openLoad() {
  let now = 0;
  let usedUs = 0;
  const lines: Record<string, unknown>[] = [];
  const log = pino(
    {level: 'debug'},
    {write: (line: string) => lines.push(JSON.parse(line))},
  );
  const metrics = new MetricsRegistry({});
  const load = new ProcessLoad({
    log,
    metrics,
    clock: {now: () => now},
    readProcessorUs: () => usedUs,
    describe: () => ({jobs: 3}),
  });
  const pass = (ms: number, coreMs: number) => {
    now += ms;
    usedUs += coreMs * 1000;
  };
  return {load, lines, metrics, pass};
}

test('a process tells the share of a core that it used, with the counts of its role', async t => {
  const {load, lines, metrics, pass} = openLoad();
  pass(2000, 500);
  load.report();
  t.like(lines[0]!, {event: 'process-load', cores: 0.25, jobs: 3});
  load[Symbol.dispose]();
  t.regex(await metrics.render(), /wasabiring_process_cores 0.25/);
});

test('a process whose loop is late on the mean says once that it cannot keep up, and once that it does', t => {
  const {load, lines, pass} = openLoad();
  const lookRepeatedly = (lagMs: number) => {
    for (let i = 0; i < 40; i++) {
      pass(50 + lagMs, 0);
      load.lag.look();
    }
    load.report();
    load.report();
  };
  lookRepeatedly(200);
  t.true(load.lag.isOverloaded);
  lookRepeatedly(0);
  t.false(load.lag.isOverloaded);
  load[Symbol.dispose]();
  const events = lines
    .map(({event}) => event)
    .filter(event => event !== 'process-load');
  t.deepEqual(events, ['overloaded', 'recovered']);
});
