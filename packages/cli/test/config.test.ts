import test from 'ava';
import type {
  ApplyConfigParams,
  ApplyConfigResult,
  ConfigStatus,
  ControlStatus,
} from '#protocol';
import {runCommand, serveRpc} from './command-runner.js';

const base = 'examples/base.toml';

const status: ConfigStatus = {
  region: 'north',
  homes: {stated: false, teams: []},
  regions: [],
  current: {
    version: 4,
    changeId: 'change-4',
    author: 'ama',
    source: {base: '[services.tally]', overlays: {}},
  },
  history: [{version: 4, changeId: 'change-4', author: 'ama'}],
  processes: [
    {process: 'entry-1', role: 'entry', version: 4},
    {process: 'agent-1', role: 'agent', version: 3},
  ],
};

const controlStatus = {
  members: [{member: 'control-1'}],
  entries: [{entry: 'entry-1'}],
  targets: [{target: 'agent-1'}],
} as unknown as ControlStatus;

const answerStatus = () => ({kind: 'done', value: status}) as const;
const buildReply = (value: ApplyConfigResult) =>
  ({kind: 'done', value}) as const;

test('apply sends the current version as the expected one and prints the new version', async t => {
  const changes: ApplyConfigParams[] = [];
  const control = await serveRpc(t, {
    'control.configStatus': answerStatus,
    'control.status': () => controlStatus,
    'control.applyConfig': change => {
      changes.push(change);
      return buildReply({kind: 'accepted', version: 5});
    },
  });
  const {code, out} = await runCommand(
    `config apply --base ${base} --overlay gilgit=examples/gilgit/overlay.toml --author bo --control ${control} --json`,
  );
  t.is(code, 0);
  t.is(changes[0]?.expectedVersion, 4);
  t.is(changes[0]?.author, 'bo');
  t.deepEqual(Object.keys(changes[0]!.source.overlays), ['gilgit']);
  t.deepEqual(JSON.parse(out), {
    kind: 'accepted',
    version: 5,
    changeId: changes[0]?.changeId,
  });
});

test('a change whose answer was lost is resent with the same id', async t => {
  const ids: string[] = [];
  const control = await serveRpc(t, {
    'control.applyConfig': ({changeId}, peer) => {
      ids.push(changeId);
      if (ids.length === 1) peer.close('cut');
      return buildReply({kind: 'accepted', version: 5});
    },
  });
  const {code} = await runCommand(
    `config apply --base ${base} --expect 4 --control ${control}`,
  );
  t.is(code, 0);
  t.is(ids.length, 2);
  t.is(ids[0], ids[1]);
});

test('a change that is never answered exits 7 and prints the options for a retry', async t => {
  const control = await serveRpc(t, {
    'control.applyConfig': (_change, peer) => {
      peer.close('cut');
      return buildReply({kind: 'accepted', version: 5});
    },
  });
  const {code, err} = await runCommand(
    `config apply --base ${base} --expect 4 --change-id c1 --timeout-ms 2000 --control ${control}`,
  );
  t.is(code, 7);
  t.regex(err, /^unanswered: .*--change-id c1 --expect 4/);
});

test('a request to a follower is redirected to the leader', async t => {
  const leader = await serveRpc(t, {
    'control.configStatus': answerStatus,
    'control.status': () => controlStatus,
  });
  const follower = await serveRpc(t, {
    'control.configStatus': () => ({kind: 'not-leader', leader}),
    'control.status': () => controlStatus,
  });
  const {code, out} = await runCommand(`config history --control ${follower}`);
  t.is(code, 0);
  t.regex(out, /^VERSION +AUTHOR +CHANGE\n4 +ama +change-4\n$/);
});

test('a replica that is down is skipped', async t => {
  const control = await serveRpc(t, {
    'control.configStatus': answerStatus,
    'control.status': () => controlStatus,
  });
  const {code, out} = await runCommand(
    `config status --control 127.0.0.1:1 --control ${control}`,
  );
  t.is(code, 0);
  t.regex(out, /agent-1 +agent +3 +behind/);
  t.regex(out, /control-1 +control +- +not reported/);
});

test('a read that is never answered exits 5', async t => {
  const control = await serveRpc(t, {
    'control.configStatus': (_params, peer) => {
      peer.close('cut');
      return {kind: 'done', value: status};
    },
  });
  const {code} = await runCommand(
    `config history --timeout-ms 300 --control ${control}`,
  );
  t.is(code, 5);
});

test('a replica that did not answer is tried last by the next request', async t => {
  const asked: string[] = [];
  const silent = await serveRpc(t, {
    'control.configStatus': (_params, peer) => {
      asked.push('silent');
      peer.close('cut');
      return {kind: 'done', value: status};
    },
  });
  const leader = await serveRpc(t, {
    'control.configStatus': answerStatus,
    'control.applyConfig': () => {
      asked.push('leader');
      return buildReply({kind: 'accepted', version: 5});
    },
  });
  const {code} = await runCommand(
    `config apply --base ${base} --control ${silent} --control ${leader}`,
  );
  t.is(code, 0);
  t.deepEqual(asked, ['silent', 'leader']);
});

test('a conflict exits 8 and prints the author of the accepted change', async t => {
  const control = await serveRpc(t, {
    'control.applyConfig': () =>
      buildReply({
        kind: 'conflict',
        version: 5,
        winner: 'ama',
        winnerChangeId: 'change-5',
      }),
  });
  const {code, out} = await runCommand(
    `config apply --base ${base} --expect 4 --control ${control}`,
  );
  t.is(code, 8);
  t.regex(
    out,
    /^conflict: version 5 by ama \(change change-5\) got there first/,
  );
});

test('check accepts the examples, in which no overlay repeats the base', async t => {
  const overlays = ['gilgit', 'mazowsze']
    .map(site => `--overlay ${site}=examples/${site}/overlay.toml`)
    .join(' ');
  const {code, out} = await runCommand(
    `config check --base ${base} ${overlays}`,
  );
  t.is(code, 0);
  t.is(out, 'valid: base and 2 overlays\n');
});

test('an invalid file is rejected before anything is sent', async t => {
  const {code, err} = await runCommand([
    ...['config', 'apply', '--control', '127.0.0.1:1', '--expect', '1'],
    ...['--base', 'examples/gilgit/overlay.toml', '--json'],
  ]);
  t.is(code, 3);
  t.regex(
    JSON.parse(err).errors[0],
    /lacks key "teams.crossings.tasks_per_second"/,
  );
});

test('a change id without an expected version is a usage error', async t => {
  const {code} = await runCommand(
    `config apply --base ${base} --change-id c --control 127.0.0.1:1`,
  );
  t.is(code, 2);
});

test('diff shows the changes of each site', async t => {
  const control = await serveRpc(t, {
    'control.configStatus': answerStatus,
    'control.status': () => controlStatus,
  });
  const {code, out} = await runCommand(
    `config diff --base ${base} --overlay gilgit=examples/gilgit/overlay.toml --control ${control} --json`,
  );
  t.is(code, 0);
  const {version, changes} = JSON.parse(out);
  t.is(version, 4);
  const [others, gilgit] = changes;
  t.true(others.lines.includes('~ services.tally.max_task_ms = 10000 -> 5000'));
  t.false(others.lines.includes('+ services.tally.placement = "credit"'));
  t.true(gilgit.lines.includes('+ services.tally.placement = "credit"'));
});

test('members list shows what the leader knows, and asks another replica only while none leads', async t => {
  const members = [
    {member: 'c1', address: 'a:1', voter: true, matchIndex: 7, silentMs: 0},
    {member: 'c2', address: 'a:2', voter: true, matchIndex: 3, silentMs: 4200},
  ];
  const repair = 'waiting: no learner';
  const leader = await serveRpc(t, {
    'control.status': () =>
      ({
        ...controlStatus,
        member: 'c1',
        role: 'leader',
        members,
        repair,
      }) as ControlStatus,
  });
  const follower = (at: string) =>
    serveRpc(t, {
      'control.status': () => {
        const bare = members.map(({silentMs: _, ...rest}) => rest);
        return {
          ...controlStatus,
          member: 'c2',
          role: 'follower',
          leader: at,
          members: bare,
        } as ControlStatus;
      },
    });
  const list = async (control: string) =>
    runCommand(`members list --control ${control}`);
  const {code, out} = await list(await follower(leader));
  t.is(code, 0);
  t.regex(out, /c2 +a:2 +voter +3 +4\.2/);
  t.regex(out, /repair: waiting: no learner/);
  const alone = await list(await follower('127.0.0.1:1'));
  t.is(alone.code, 0);
  t.regex(alone.out, /no leader answers/);
});

test('a membership change is not resent when its answer is lost', async t => {
  let sent = 0;
  const control = await serveRpc(t, {
    'control.changeMembers': (_change, peer) => {
      sent++;
      peer.close('cut');
      return {kind: 'done', value: {}};
    },
  });
  const {code, err} = await runCommand(
    `members promote c4 --control ${control}`,
  );
  t.is(code, 7);
  t.regex(err, /see "status"/);
  t.is(sent, 1);
});

test('a membership change that may have been applied is not resent to the next leader', async t => {
  let sent = 0;
  const control = await serveRpc(t, {
    'control.changeMembers': () => {
      sent++;
      return {kind: 'not-leader', maybeApplied: true};
    },
  });
  const {code} = await runCommand(`members remove c4 --control ${control}`);
  t.is(code, 7);
  t.is(sent, 1);
});

test('apply --wait ends when every known process reports the version', async t => {
  let polls = 0;
  const control = await serveRpc(t, {
    'control.applyConfig': () => buildReply({kind: 'accepted', version: 5}),
    'control.status': () => controlStatus,
    'control.configStatus': () => {
      const reported = polls++ < 2 ? ['entry-1'] : ['entry-1', 'agent-1'];
      const processes = ['control-1', ...reported].map(process => ({
        process,
        role: process.split('-')[0] as 'entry',
        version: 5,
      }));
      return {kind: 'done', value: {...status, processes}};
    },
  });
  const {code, out} = await runCommand(
    `config apply --base ${base} --expect 4 --wait --control ${control}`,
  );
  t.is(code, 0);
  t.is(polls, 3);
  t.regex(out, /in force everywhere$/m);
});

test('apply --wait lists the processes that have not reported the version', async t => {
  const control = await serveRpc(t, {
    'control.applyConfig': () => buildReply({kind: 'accepted', version: 4}),
    'control.status': () => controlStatus,
    'control.configStatus': answerStatus,
  });
  const {code, out} = await runCommand(
    `config apply --base ${base} --expect 3 --wait --timeout-ms 2000 --control ${control}`,
  );
  t.is(code, 7);
  t.regex(out, /not yet reported in force at agent-1, control-1$/m);
});

test('a refusal by control is printed and exits 5', async t => {
  const control = await serveRpc(t, {
    'control.changeMembers': () => {
      throw new Error('learner "c4" has not caught up');
    },
  });
  const {code, err} = await runCommand(
    `members promote c4 --control ${control}`,
  );
  t.is(code, 5);
  t.regex(err, /^refused: .*has not caught up/);
});

test('a change is resent with the same id while the origin is unreachable', async t => {
  const answers: ApplyConfigResult[] = [
    {kind: 'unknown', detail: 'the origin did not answer'},
    {kind: 'accepted', version: 5},
  ];
  const ids = new Set<string>();
  const control = await serveRpc(t, {
    'control.configStatus': answerStatus,
    'control.applyConfig': ({changeId}) => {
      ids.add(changeId);
      return buildReply(answers.shift()!);
    },
  });
  const args = ['config', 'apply', '--base', base, '--control', control];
  const {code} = await runCommand(args);
  t.is(code, 0);
  t.is(ids.size, 1);
});

test('status lists the other regions, including those that have not reported', async t => {
  const regions =
    '[regions.north]\nentries = ["10.0.0.1:7000"]\n' +
    '[regions.south]\nentries = ["10.0.1.1:7000"]\n' +
    '[regions.west]\nentries = ["10.0.2.1:7000"]\n';
  const south = {
    region: 'south',
    version: 4,
    lowest: 3,
    highest: 4,
    processes: 7,
    silent: 1,
    lagging: ['agent-9'],
    ageMs: 20,
  };
  const source = {base: regions, overlays: {}};
  const divided: ConfigStatus = {
    ...status,
    current: {...status.current, source},
    regions: [south],
  };
  const control = await serveRpc(t, {
    'control.configStatus': () => ({kind: 'done', value: divided}) as const,
    'control.status': () => controlStatus,
  });
  const {out} = await runCommand(['config', 'status', '--control', control]);
  t.regex(out, /south +4 +3 +4 +7 of 8 +agent-9/);
  t.regex(out, /west .*not reported/);
  t.notRegex(out, /north .*not reported/);
});
