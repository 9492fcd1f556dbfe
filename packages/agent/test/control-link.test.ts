import test from 'ava';
import {monotonicClock, type TargetInfo} from '#model';
import {type Handlers, PeerListener} from '#protocol';
import {openLog} from '#telemetry';
import {ControlLink} from '#agent';

const target: TargetInfo = {
  target: 't1',
  incarnation: 1,
  service: 'tally',
  address: '127.0.0.1:9',
  place: {site: 's', region: 'r', failureDomain: 'd', rack: 'k'},
  capacity: {kind: 'executor', slots: 1, maxConnections: 1},
  leaving: false,
};
const leases = {
  entryLeaseMs: 300,
  targetLeaseMs: 300,
  renewalIntervalMs: 20,
  clockMarginMs: 20,
};

test('an agent to which the configuration does not matter renews its lease and is sent none', async t => {
  const asked: string[] = [];
  const renewed = {kind: 'renewed', leaseMs: 300, configVersion: 7} as const;
  const handlers: Handlers = {
    'control.announce': () => {
      asked.push('announce');
      return {kind: 'done', value: renewed};
    },
    'control.renewTarget': () => {
      asked.push('renew');
      return {kind: 'done', value: renewed};
    },
    'control.watch': () => {
      asked.push('watch');
      return {kind: 'delta', from: 0, revision: 0, changes: []};
    },
  };
  await using listener = (
    await PeerListener.listen('127.0.0.1:0', handlers)
  ).unsafeCoerce();
  await using link = new ControlLink({
    listControls: () => [listener.address],
    leases,
    clock: monotonicClock,
    log: openLog('silent', 'agent', 't1'),
    describeTarget: () => target,
    onAnnounced: () => {},
  });
  while (asked.length < 4) await new Promise(resolve => setTimeout(resolve, 5));
  t.true(link.isAnnounced);
  t.deepEqual(asked.slice(0, 4), ['announce', 'renew', 'renew', 'renew']);
});
