import test from 'ava';
import fc from 'fast-check';
import {
  applyCommand,
  applyUpdate,
  buildView,
  type Command,
  createState,
  decodeSnapshot,
  emptyView,
  encodeSnapshot,
  lookupJob,
  type View,
} from '#membership';
import {admission, change, id, Log, open, target} from './builders.js';

const seeded = {seed: 20261204, numRuns: 200};
const small = fc.integer({min: 0, max: 5});

const command: fc.Arbitrary<Command> = fc.oneof(
  fc
    .tuple(small, small, fc.constantFrom('gilgit', 'skardu'))
    .map(([entry, nonce, site]) => open(`e${entry}`, `n${nonce}`, site)),
  small.map(epoch => ({kind: 'end-epoch', time: 0, epoch}) as const),
  small.map(epoch => ({kind: 'close-entry', time: 0, epoch}) as const),
  fc.tuple(small, small).map(([name, incarnation]) => ({
    kind: 'announce-target' as const,
    time: 0,
    target: target(`t${name}`, incarnation),
  })),
  fc.tuple(small, small).map(([name, incarnation]) => ({
    kind: 'target-gone' as const,
    time: 0,
    target: `t${name}`,
    incarnation,
  })),
  fc
    .array(fc.tuple(fc.integer({min: 0, max: 40}), small, small), {
      maxLength: 6,
    })
    .map(jobs => ({
      kind: 'admit' as const,
      wallMs: 0,
      time: 0,
      admissions: jobs.map(([n, epoch, keep]) =>
        admission(n, epoch, keep * 700),
      ),
    })),
  fc.constant({kind: 'forget' as const, time: 0}),
  fc.tuple(small, fc.boolean(), small).map(([n, evacuated, change]) => ({
    kind: 'set-evacuation' as const,
    time: 0,
    domain: `d${n}`,
    evacuated,
    ...(change > 0 && {changeId: `c${change}`}),
  })),
  fc.tuple(small, small).map(([n, expected]) => ({
    kind: 'configure' as const,
    time: 0,
    change: change(`c${n}`, expected),
  })),
);

/** Commands at increasing log times. */
const history = fc
  .array(fc.tuple(command, fc.integer({min: 0, max: 900})), {maxLength: 80})
  .map(steps => {
    let time = 0;
    return steps.map(([one, ms]): Command => ({...one, time: (time += ms)}));
  });

function describe(view: View) {
  const sort = <Item>(items: Iterable<Item>) =>
    [...items].map(item => JSON.stringify(item)).sort();
  return {
    targets: sort(view.targets.list()),
    services: sort(
      [...view.services].map(([name, map]) => [name, sort(map.list())]),
    ),
    gone: view.gone,
    entries: sort(view.entries.values()),
    ended: sort(view.ended.values()),
    configuration: view.configuration,
    evacuated: sort(view.evacuated),
  };
}

function buildFullView(state: ReturnType<typeof createState>): View {
  const result = applyUpdate(emptyView, {
    kind: 'full',
    revision: state.revision,
    view: buildView(state),
  });
  if (result.kind !== 'applied') throw new Error(result.kind);
  return result.view;
}

test('a snapshot restores the same state, and later commands have the same results', t => {
  fc.assert(
    fc.property(history, fc.nat(80), (commands, cut) => {
      const whole = createState();
      let restored = createState();
      commands.forEach((one, i) => {
        if (i === cut) {
          restored = decodeSnapshot(encodeSnapshot(restored)).unsafeCoerce();
        }
        const a = applyCommand(whole, one, i + 1);
        const b = applyCommand(restored, one, i + 1);
        t.deepEqual(a.result, b.result);
      });
      t.deepEqual(buildFullView(restored), buildFullView(whole));
      t.is(restored.admissions.size, whole.admissions.size);
      t.is(restored.time, whole.time);
    }),
    seeded,
  );
});

test('deltas produce the same view as a full update, even when some are repeated', t => {
  fc.assert(
    fc.property(history, fc.nat(80), (commands, cut) => {
      const state = createState();
      let view = emptyView;
      const all = commands.flatMap((one, i) => {
        const {changes} = applyCommand(state, one, i + 1);
        if (i === cut) view = buildFullView(state);
        return changes;
      });
      const result = applyUpdate(view, {
        kind: 'delta',
        from: 0,
        revision: state.revision,
        changes: all,
      });
      t.deepEqual(
        result.kind === 'applied' && describe(result.view),
        describe(buildFullView(state)),
      );
    }),
    seeded,
  );
});

test('a job has one owner: the epoch that admitted it, or its live successor', t => {
  fc.assert(
    fc.property(history, commands => {
      const state = createState();
      const owners = new Map<string, number>();
      commands.forEach((one, i) => {
        const {result} = applyCommand(state, one, i + 1);
        if (one.kind === 'admit' && result.kind === 'admitted') {
          one.admissions.forEach(({job, epoch}, at) => {
            if (result.results[at].kind !== 'admitted') return;
            t.is(owners.get(job) ?? epoch, epoch);
            owners.set(job, epoch);
          });
        }
        for (const [job, epoch] of owners) {
          const found = lookupJob(state, job, 0);
          if (found.kind === 'absent') {
            owners.delete(job);
            continue;
          }
          const {owner} = found.standing;
          t.is(found.standing.epoch, epoch);
          t.true(
            state.epochs.live.has(owner) ||
              (owner === epoch && state.epochs.live.size === 0),
          );
        }
      });
    }),
    seeded,
  );
});

test('exactly one of the changes based on a version is accepted, and retries get the first answer', t => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.nat(20), small), {maxLength: 60}),
      attempts => {
        const log = new Log();
        const answers = new Map<string, unknown>();
        const winners = new Map<number, string>();
        let version = 0;
        for (const [n, expected] of attempts) {
          const changeId = `c${n} on ${expected}`;
          const result = log.applyConfig(changeId, expected);
          if (answers.has(changeId)) {
            t.deepEqual(result, answers.get(changeId));
          } else if (result.kind === 'accepted') {
            t.false(winners.has(result.version));
            t.is(result.version, expected + 1);
            winners.set(result.version, changeId);
          } else if (winners.has(expected + 1)) {
            t.like(result, {
              kind: 'conflict',
              winnerChangeId: winners.get(expected + 1),
            });
          }
          answers.set(changeId, result);
          const current = log.state.configuration.current.version;
          t.true(current >= version);
          version = current;
        }
      },
    ),
    seeded,
  );
});

test('a change id that was used for another change is invalid', t => {
  const log = new Log();
  log.applyConfig('c', 0);
  t.is(log.applyConfig('c', 1).kind, 'invalid');
});

test('a record is removed at its expiry and not before', t => {
  const log = new Log();
  const epoch = log.openEntry('e1');
  log.admit([admission(1, epoch, 5000)], 1000);
  log.run({kind: 'forget', time: 5999});
  t.is(lookupJob(log.state, id(1), 0).kind, 'exists');
  log.run({kind: 'forget', time: 6000});
  t.is(lookupJob(log.state, id(1), 0).kind, 'absent');
});

test('log time never decreases', t => {
  const log = new Log();
  log.run({kind: 'forget', time: 5000});
  log.run({kind: 'forget', time: 10});
  t.is(log.state.time, 5000);
});

test('the successor is chosen from the same site when it has a live entry', t => {
  const log = new Log();
  const ending = log.openEntry('e1', 'n', 'skardu');
  log.openEntry('e2');
  log.openEntry('e3');
  const near = log.openEntry('e4', 'n', 'skardu');
  log.run({kind: 'end-epoch', time: 0, epoch: ending});
  t.is(log.state.epochs.ended.get(ending)?.heir, near);
});

test('an epoch that ends without other live entries is taken over by the next entry', t => {
  const log = new Log();
  const first = log.openEntry('e1');
  log.admit([admission(1, first)]);
  log.run({kind: 'end-epoch', time: 0, epoch: first});
  t.is(log.state.epochs.ended.get(first)?.heir, undefined);
  const second = log.openEntry('e2');
  t.is(log.state.epochs.ended.get(first)?.heir, second);
});

test('an ended incarnation is kept as long as a job that it may have started', t => {
  const log = new Log();
  const epoch = log.openEntry('e1');
  const announce = (incarnation: number) =>
    log.run({
      kind: 'announce-target',
      time: 0,
      target: target('t', incarnation),
    });
  announce(1);
  log.admit([admission(1, epoch, 5000)]);
  announce(2);
  log.run({kind: 'forget', time: 4000});
  t.deepEqual(
    log.state.gone.map(({gone}) => gone.incarnation),
    [1],
  );
  t.is(announce(1).kind, 'superseded');
  log.run({kind: 'forget', time: 5000});
  t.is(log.state.gone.length, 0);
});

test('a target whose agent starts again within an incarnation is not leaving any more', t => {
  const log = new Log();
  const announce = (life: number, leaving: boolean) => {
    const info = {...target('t'), life, leaving};
    log.run({kind: 'announce-target', time: 0, target: info});
    return log.state.targets.get('t')?.leaving;
  };
  t.deepEqual(
    [announce(1, true), announce(1, false), announce(2, false)],
    [true, true, false],
  );
  t.deepEqual([announce(2, true), announce(1, false)], [true, true]);
});

test('a delayed older announcement does not undo that a target is leaving', t => {
  const log = new Log();
  const announce = (leaving: boolean) =>
    log.run({
      kind: 'announce-target',
      time: 0,
      target: {...target('t'), leaving},
    });
  announce(true);
  announce(false);
  t.true(log.state.targets.get('t')?.leaving);
});

test('an older update is stale, and one that starts after the view is a gap', t => {
  const view = {...emptyView, revision: 10};
  const delta = (from: number, revision: number) =>
    applyUpdate(view, {kind: 'delta', from, revision, changes: []}).kind;
  t.is(delta(5, 9), 'stale');
  t.is(delta(11, 12), 'gap');
  t.is(delta(10, 12), 'applied');
});

test('bytes that are not a snapshot are refused', t => {
  t.true(decodeSnapshot(Buffer.from('no snapshot')).isLeft());
});

test('a job may start until its deadline by the wall clock', t => {
  const log = new Log();
  const epoch = log.openEntry('e1');
  log.admit([{...admission(1, epoch, 90_000), startMs: 5000}], 1000);
  const mayStart = (wallMs: number) => {
    const found = lookupJob(log.state, id(1), wallMs);
    return found.kind === 'exists' && found.standing.mayStart;
  };
  t.true(mayStart(6000));
  t.false(mayStart(6001));
});

test('a retry with another ticket is not admitted again', t => {
  const log = new Log();
  const epoch = log.openEntry('e1');
  const first = admission(1, epoch);
  const kinds = [first, first, {...first, ticket: 1}].map(
    one => log.admit([one])[0]!.kind,
  );
  t.deepEqual(kinds, ['admitted', 'admitted', 'exists']);
});

test('a job stays cancelled across retries and snapshots; one without a record is ignored', t => {
  const log = new Log();
  const epoch = log.openEntry('e1');
  const first = admission(1, epoch);
  log.admit([first, admission(2, epoch)]);
  log.run({kind: 'cancel-jobs', time: 0, jobs: [id(1), id(3), 'no id']});
  t.is(log.admit([first])[0]!.kind, 'exists');
  const restored = decodeSnapshot(encodeSnapshot(log.state)).unsafeCoerce();
  for (const state of [log.state, restored]) {
    const isCancelled = [1, 2, 3].map(n => {
      const found = lookupJob(state, id(n), 0);
      return found.kind === 'exists' ? found.standing.cancelled : found.kind;
    });
    t.deepEqual(isCancelled, [true, undefined, 'absent']);
  }
});
