import {Right} from 'purify-ts';
import test from 'ava';
import {Control, createInMemoryReplica} from '#control';
import {ControlClient} from '#membership';
import {
  createSettings,
  runtime,
  createDeadline,
  source,
} from './test-control.js';

test('a membership change sent to a newly elected leader is retried, not rejected', async t => {
  let asked = 0;
  const opened = await Control.open({
    settings: createSettings('c1'),
    configuration: source,
    runtime,
    startReplica: async ({id, address, machine}) =>
      Right({
        ...createInMemoryReplica(id, address, machine),
        changeMembers: async () =>
          asked++ === 0
            ? {kind: 'refused', reason: 'not-ready'}
            : {kind: 'committed', index: 9},
      }),
  });
  await using control = opened.unsafeCoerce();
  await using client = new ControlClient({controls: [control.address]});
  const change = {
    change: 'add-learner',
    member: 'c2',
    address: '127.0.0.1:9',
  } as const;
  const reply = await client.request(
    'control.changeMembers',
    change,
    createDeadline(),
  );
  t.true(reply.isRight());
  t.is(asked, 2);
});
