import test from 'ava';
import type {TargetInfo} from '#model';
import {
  chooseCapableTargets,
  chooseFollowedTargets,
  chooseHomeDispatchers,
  chooseTargetSubset,
} from '#policy';

function buildTargets(
  count: number,
  label: (i: number) => string = () => '',
): readonly TargetInfo[] {
  return Array.from({length: count}, (_, i) => ({
    target: `target-${i}`,
    incarnation: 1,
    service: 'tally',
    address: `10.0.0.${i}:7000`,
    place: {site: 's', region: 'r', failureDomain: 'f', rack: 'none'},
    capacity: {
      kind: 'room',
      cpuMillis: 4000,
      memoryMb: 4096,
      accelerators: 0,
      labels: [label(i)],
    },
    leaving: false,
  }));
}

const needs = {demand: {cpuMillis: 100, memoryMb: 1, accelerators: 0}};

test('each dispatcher uses twelve targets, its own included, and each target is used by several', t => {
  const targets = buildTargets(100);
  const userCounts = new Map<string, number>();
  for (const {target: dispatcher} of targets) {
    const subset = chooseTargetSubset(dispatcher, targets);
    t.is(subset.length, 12);
    t.true(subset.some(({target}) => target === dispatcher));
    for (const {target} of subset) {
      userCounts.set(target, (userCounts.get(target) ?? 0) + 1);
    }
  }
  const counts = targets.map(({target}) => userCounts.get(target) ?? 0);
  t.true(Math.min(...counts) >= 3, String(counts));
  t.true(Math.max(...counts) <= 30, String(counts));
});

test('on a small site each dispatcher uses all targets', t => {
  const targets = buildTargets(11);
  t.is(chooseTargetSubset('target-3', targets).length, 11);
});

test('removing a target does not change the rest of the subset', t => {
  const targets = buildTargets(60);
  const before = chooseTargetSubset('target-0', targets);
  const gone = before.at(-1)!;
  const after = chooseTargetSubset(
    'target-0',
    targets.filter(each => each !== gone),
  );
  t.deepEqual(after.slice(0, 11), before.slice(0, 11));
});

test('targets with a rare label or in the rack of the data are chosen from all targets', t => {
  const targets = buildTargets(100, i => (i % 10 === 7 ? 'rare' : 'usual'));
  const ofKind = chooseCapableTargets(
    'target-0',
    {...needs, requiredLabel: 'rare'},
    targets,
  );
  const nearData = chooseCapableTargets(
    'target-0',
    {...needs, dataRack: 'rare'},
    targets,
  );
  for (const chosen of [ofKind, nearData]) {
    t.is(chosen.length, 4);
    for (const {target} of chosen) t.regex(target, /7$/);
  }
  t.deepEqual(
    chooseCapableTargets('target-0', {...needs, requiredLabel: 'no'}, targets),
    [],
  );
});

const spread = buildTargets(70).map((target, i) => ({
  ...target,
  place: {...target.place, failureDomain: `domain-${i % 3}`},
}));
const first = new Set(['domain-0']);
const firstTwo = new Set(['domain-0', 'domain-1']);

test('while a domain is evacuated, a dispatcher has a full subset elsewhere and keeps its other links', t => {
  const isElsewhere = ({place}: TargetInfo) => !first.has(place.failureDomain);
  for (const {target: dispatcher} of spread) {
    const usual = chooseTargetSubset(dispatcher, spread);
    const followed = chooseFollowedTargets(dispatcher, spread, first);
    t.true(usual.every(target => followed.has(target)));
    t.is([...followed].filter(isElsewhere).length, 12);
  }
});

test('homes leave an evacuated domain, and those elsewhere stay', t => {
  const before = chooseHomeDispatchers('tally', spread);
  for (const evacuated of [first, firstTwo]) {
    const homes = chooseHomeDispatchers('tally', spread, evacuated);
    const staying = before.filter(
      ({place}) => !evacuated.has(place.failureDomain),
    );
    t.true(homes.every(({place}) => !evacuated.has(place.failureDomain)));
    t.is(homes.length, evacuated === first ? 23 : 12);
    const kept = staying.filter(home => homes.includes(home)).length;
    t.true(kept >= Math.min(homes.length, staying.length) - 1, String(kept));
  }
});

test('when all domains are evacuated, the homes stay', t => {
  const all = new Set([...firstTwo, 'domain-2']);
  t.deepEqual(
    chooseHomeDispatchers('tally', spread, all),
    chooseHomeDispatchers('tally', spread),
  );
});
