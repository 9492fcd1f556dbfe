import test from 'ava';
import {request} from 'undici';
import {MetricsRegistry, MetricsServer} from '#telemetry';

test('counters, gauges and histograms are served as text with their labels', async t => {
  const registry = new MetricsRegistry({role: 'entry'});
  registry.increment('jobs', 2, {queue: 'counts', outcome: 'completed'});
  registry.gauge('jobs.open', 3);
  registry.timing('job.response', 40, {queue: 'counts'});
  await using server = (
    await MetricsServer.listen('127.0.0.1:0', '/metrics', registry)
  ).unsafeCoerce();
  const {address} = server;
  const {body} = await request(`http://${address}/metrics`);
  const text = await body.text();
  t.regex(
    text,
    /wasabiring_jobs\{queue="counts",outcome="completed",role="entry"\} 2/,
  );
  t.regex(text, /wasabiring_jobs_open\{role="entry"\} 3/);
  t.regex(
    text,
    /wasabiring_job_response_ms_bucket\{le="50",role="entry",queue="counts"\} 1/,
  );
  const other = await request(`http://${address}/other`);
  t.is(other.statusCode, 404);
  await other.body.dump();
});

test('the number of label sets per metric is bounded', async t => {
  const registry = new MetricsRegistry({});
  for (let i = 0; i < 500; i++) {
    registry.increment('jobs', 1, {queue: `q${i}`});
  }
  const lines = (await registry.render()).split('\n');
  t.is(lines.filter(line => line.startsWith('wasabiring_jobs{')).length, 201);
  t.true(lines.includes('wasabiring_jobs{queue="other"} 300'));
});

test('listening at an address in use returns an error', async t => {
  const registry = new MetricsRegistry({});
  await using first = (
    await MetricsServer.listen('127.0.0.1:0', '/', registry)
  ).unsafeCoerce();
  const second = await MetricsServer.listen(first.address, '/', registry);
  t.true(second.isLeft());
});
