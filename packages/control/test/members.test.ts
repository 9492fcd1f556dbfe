import {Right} from 'purify-ts';
import test from 'ava';
import {Control, createLocalReplica} from '#control';
import {ControlClient} from '#membership';
import {createSettings, runtime, soon, source} from './site.js';

test('a change of members that meets a leader just elected is asked again, not rejected', async t => {
  let asked = 0;
  const opened = await Control.open({
    settings: createSettings('c1'),
    configuration: source,
    runtime,
    startReplica: async ({id, address, machine}) =>
      Right({
        ...createLocalReplica(id, address, machine),
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
  const reply = await client.request('control.changeMembers', change, soon());
  t.true(reply.isRight());
  t.is(asked, 2);
});
