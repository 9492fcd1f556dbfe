import test from 'ava';
import {decodeSnapshot, encodeSnapshot} from '#membership';
import type {TeamHomes} from '#protocol';
import {change, Log} from './builders.js';

const createStatedHomes = (...homes: readonly string[]): TeamHomes => ({
  stated: true,
  teams: homes.map(home => {
    const [team, region] = home.split('@') as [string, string];
    return {team, region};
  }),
});
const createImpliedHomes = (...homes: readonly string[]): TeamHomes => ({
  ...createStatedHomes(...homes),
  stated: false,
});

/** Applies changes in turn; returns the kind of each result. */
function applyAll(log: Log, ...all: readonly TeamHomes[]): readonly string[] {
  return all.map(homes => {
    const {version} = log.state.configuration.current;
    const command = change(`c${log.state.revision}`, version);
    const {kind, ...rest} = log.run({
      kind: 'configure',
      time: 0,
      change: command,
      homes,
    });
    const {result} = rest as {readonly result: {readonly kind: string}};
    return kind === 'configured' ? result.kind : kind;
  });
}

test('a home region never changes, even after its team was removed and added again', t => {
  const log = new Log();
  t.deepEqual(
    applyAll(
      log,
      createStatedHomes('herds@a', 'pens@b'),
      createStatedHomes('pens@b'),
      createStatedHomes('herds@b', 'pens@b'),
      createStatedHomes('herds@a', 'pens@b'),
    ),
    ['accepted', 'accepted', 'invalid', 'accepted'],
  );
  t.is(log.state.configuration.current.version, 3);
});

test('teams configured before regions existed have the home region first implied by their group', t => {
  const log = new Log();
  t.deepEqual(
    applyAll(
      log,
      createImpliedHomes('herds@a'),
      createImpliedHomes('herds@renamed'),
      createStatedHomes('herds@b'),
    ),
    ['accepted', 'accepted', 'invalid'],
  );
  t.deepEqual(applyAll(log, createStatedHomes('herds@a')), ['accepted']);
});

test('regions cannot be removed, and a snapshot keeps regions and home regions', t => {
  const log = new Log();
  applyAll(log, createStatedHomes('herds@a'), createStatedHomes());
  const restored = decodeSnapshot(encodeSnapshot(log.state)).unsafeCoerce();
  for (const each of [log, new Log(restored, restored.revision)]) {
    t.deepEqual(
      applyAll(each, createImpliedHomes(), createStatedHomes('herds@b')),
      ['invalid', 'invalid'],
    );
  }
});

test('an adopted configuration takes effect only when it is newer', t => {
  const log = new Log();
  const adopt = (version: number, ...homes: readonly string[]) => {
    const {source} = change(`c${version}`, 0);
    const summary = {version, changeId: `c${version}`, author: 'a'};
    log.run({
      kind: 'adopt-configuration',
      time: 0,
      configuration: {...summary, source},
      history: [summary],
      homes: createStatedHomes(...homes),
    });
    return log.state.configuration.current.version;
  };
  t.is(adopt(4, 'herds@a'), 4);
  t.is(adopt(3, 'herds@a', 'pens@b'), 4);
  t.is(adopt(4, 'herds@a', 'pens@b'), 4);
  t.false(log.state.configuration.homes.regions.has('pens'));
  t.is(adopt(6, 'herds@a', 'pens@b'), 6);
  t.deepEqual(
    log.state.configuration.history.map(({version}) => version),
    [4, 6],
  );
});
