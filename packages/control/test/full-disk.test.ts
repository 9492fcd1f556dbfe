import test from 'ava';
import {Group} from './group.js';
import {createAdmission} from './test-control.js';

async function waitUntil(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => setTimeout(resolve, 10));
}

for (const role of ['leader', 'follower'] as const) {
  test(`a ${role} whose disk is full stays up, acknowledges nothing and takes part again when there is room`, async t => {
    await using group = await Group.start();
    const client = group.connect();
    const {epoch} = await client.open('gilgit-1');
    client.keepAlive('gilgit-1', epoch);
    const leader = await group.awaitLeader();
    const full = [...group.running.keys()].find(
      id => (id === leader) === (role === 'leader'),
    )!;
    const control = group.running.get(full)!;
    const others = [...group.running.keys()].filter(id => id !== full);
    group.full.add(full);
    const admit = (name: string) =>
      group.connect(...others).request('control.admit', {
        admissions: [createAdmission(name, epoch)],
      });
    void admit('a');
    await waitUntil(() => control.describeStatus().diskFailure !== undefined);
    t.not(control.describeStatus().role, 'leader');
    t.deepEqual(await admit('b'), [{kind: 'admitted'}]);
    t.regex(control.describeStatus().diskFailure!, /ENOSPC/);
    group.full.delete(full);
    await waitUntil(() => control.describeStatus().jobs === 2);
    t.is(control.describeStatus().diskFailure, undefined);
    const last = others[0]!;
    await group.stop(last);
    await group.awaitLeader();
    t.deepEqual(
      await group.connect(full, others[1]!).request('control.admit', {
        admissions: [createAdmission('c', epoch)],
      }),
      [{kind: 'admitted'}],
    );
  });
}
