import test from 'ava';
import type {
  ControlStatus,
  SetEvacuationParams,
  SetEvacuationResult,
} from '#protocol';
import {runCommand, serveRpc} from './command-runner.js';

const buildReply = (value: SetEvacuationResult) =>
  ({kind: 'done', value}) as const;

test('an order whose answer was lost is sent again under the same id', async t => {
  const orders: SetEvacuationParams[] = [];
  const control = await serveRpc(t, {
    'control.setEvacuation': (order, peer) => {
      orders.push(order);
      if (orders.length === 1) peer.close('cut');
      return buildReply({kind: 'done'});
    },
  });
  const {code, out} = await runCommand(
    `domain evacuate gilgit-hunza --control ${control}`,
  );
  t.is(code, 0);
  t.is(out.trim(), 'done: evacuate gilgit-hunza');
  t.is(orders.length, 2);
  t.deepEqual(orders[0], orders[1]);
  t.like(orders[0], {domain: 'gilgit-hunza', evacuated: true});
});

test('restore with a change id repeats that order', async t => {
  const orders: SetEvacuationParams[] = [];
  const control = await serveRpc(t, {
    'control.setEvacuation': order => {
      orders.push(order);
      return buildReply({kind: 'done'});
    },
  });
  const {out} = await runCommand(
    `domain restore gilgit-hunza --change-id c1 --control ${control} --json`,
  );
  const expected = {domain: 'gilgit-hunza', evacuated: false, changeId: 'c1'};
  t.deepEqual(orders, [expected]);
  t.deepEqual(JSON.parse(out), {done: true, ...expected});
});

test('an unknown domain is refused with exit code 5', async t => {
  const control = await serveRpc(t, {
    'control.setEvacuation': () => buildReply({kind: 'unknown-domain'}),
  });
  const {code, err} = await runCommand(
    `domain evacuate gligit --control ${control}`,
  );
  t.is(code, 5);
  t.regex(err, /"gligit"/);
});

test('list shows every domain with its state', async t => {
  const domains = [
    {domain: 'a', evacuated: false, targets: 3, entries: 1},
    {domain: 'b', evacuated: true, targets: 2, entries: 0},
  ];
  const control = await serveRpc(t, {
    'control.readEvacuations': () => ({
      kind: 'done',
      value: {version: 5, domains},
    }),
  });
  const {out} = await runCommand(`domain list --control ${control}`);
  t.regex(out, /a +in service +3 +1/);
  t.regex(out, /b +evacuated +2 +0/);
});

test('status names the evacuated domains, and nothing of a build without them', async t => {
  const status: ControlStatus = {
    member: 'c1',
    role: 'leader',
    term: 1,
    commitIndex: 1,
    members: [],
    targets: [],
    entries: [],
    jobs: 0,
    configVersion: 1,
    acknowledged: [],
  };
  const show = async (shown: ControlStatus) => {
    const control = await serveRpc(t, {'control.status': () => shown});
    return (await runCommand(`status --control ${control}`)).out;
  };
  t.regex(await show({...status, evacuated: ['a', 'b']}), /evacuated.*: a, b/);
  t.notRegex(await show(status), /evacuated/);
});
