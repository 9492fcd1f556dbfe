import {createSocket} from 'node:dgram';
import {Writable} from 'node:stream';
import test from 'ava';
import {openLog, openMetrics} from '#telemetry';

test('metrics are sent by StatsD with prefix and tags, at the latest on disposal', async t => {
  const socket = createSocket('udp4');
  t.teardown(() => socket.close());
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve));
  const received = new Promise<string>(resolve =>
    socket.once('message', message => resolve(message.toString())),
  );
  const metrics = openMetrics(
    {host: '127.0.0.1', port: socket.address().port, prefix: 'w.'},
    {role: 'entry'},
  );
  metrics.increment('jobs', 2, {team: 'a'});
  metrics.gauge('queue', 3);
  metrics.timing('run', 1.5);
  await metrics[Symbol.asyncDispose]();
  t.deepEqual((await received).trim().split('\n'), [
    'w.jobs:2|c|#role:entry,team:a',
    'w.queue:3|g|#role:entry',
    'w.run:1.5|ms|#role:entry',
  ]);
});

test('an unreachable collector does not block recording or disposal', async t => {
  const metrics = openMetrics({host: '127.0.0.1', port: 9, prefix: ''}, {});
  for (let i = 0; i < 1000; i++) metrics.increment('jobs');
  await metrics[Symbol.asyncDispose]();
  t.pass();
});

test('log lines are JSON objects with role and id', t => {
  let text = '';
  const log = openLog(
    'info',
    'entry',
    'entry-1',
    new Writable({
      write: (chunk, _encoding, done) => {
        text += chunk;
        done();
      },
    }),
  );
  log.info({event: 'ready'}, 'listening');
  log.debug('not shown');
  const {time, ...line} = JSON.parse(text);
  t.false(Number.isNaN(Date.parse(time)));
  t.deepEqual(line, {
    level: 30,
    role: 'entry',
    id: 'entry-1',
    event: 'ready',
    msg: 'listening',
  });
});
