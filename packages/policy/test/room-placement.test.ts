import test from 'ava';
import {
  chooseTarget,
  judgeBacklog,
  reserveRoom,
  type RoomTarget,
} from '#policy';

const none = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

function buildTarget(
  target: string,
  changes: Partial<RoomTarget> = {},
): RoomTarget {
  return {
    target,
    room: {
      kind: 'room',
      cpuMillis: 16_000,
      memoryMb: 65_536,
      accelerators: 0,
      labels: ['a', 'r1'],
    },
    used: none,
    slowness: 1,
    failing: 0,
    isNear: true,
    startsAhead: 0,
    ...changes,
  };
}

const task = {
  demand: {cpuMillis: 1600, memoryMb: 64, accelerators: 0},
  estimateMs: 100,
  rank: 900,
  dueAt: 1000,
};

test('the fastest target with room is taken', t => {
  const targets = [
    buildTarget('slow', {slowness: 1.8}),
    buildTarget('fast', {slowness: 0.8}),
  ];
  t.deepEqual(chooseTarget(task, targets, 0), {kind: 'place', target: 'fast'});
});

test('a far target is taken only when it gains more than the distance costs', t => {
  const far = buildTarget('far', {isNear: false, slowness: 0.95});
  const near = buildTarget('near');
  t.deepEqual(chooseTarget(task, [far, near], 0), {
    kind: 'place',
    target: 'near',
  });
  const long = {...task, estimateMs: 1000, dueAt: 5000};
  t.deepEqual(chooseTarget(long, [far, near], 0), {
    kind: 'place',
    target: 'far',
  });
});

test('a long task waits for a fast target while that still keeps its due time', t => {
  const full = {...none, cpuMillis: 15_000};
  const targets = [
    buildTarget('slow', {slowness: 1.8}),
    buildTarget('fast', {slowness: 0.8, used: full}),
  ];
  const long = {...task, estimateMs: 700};
  t.deepEqual(chooseTarget(long, targets, 0), {kind: 'wait'});
  t.deepEqual(chooseTarget(long, targets, 900), {
    kind: 'place',
    target: 'slow',
  });
});

test('a target that fails its runs gets none while another one is sound', t => {
  const targets = [
    buildTarget('failing', {failing: 0.8, slowness: 0.2}),
    buildTarget('sound'),
  ];
  t.deepEqual(chooseTarget(task, targets, 0), {kind: 'place', target: 'sound'});
  t.deepEqual(chooseTarget(task, targets.slice(0, 1), 0), {
    kind: 'place',
    target: 'failing',
  });
});

test('the target of a run that ended badly is avoided, unless it is the only one', t => {
  const targets = [buildTarget('one'), buildTarget('two')];
  const again = {...task, avoid: 'one'};
  t.deepEqual(chooseTarget(again, targets, 0), {kind: 'place', target: 'two'});
  t.deepEqual(chooseTarget(again, targets.slice(0, 1), 0), {
    kind: 'place',
    target: 'one',
  });
});

test('a task waits at a full target only where no other waits and none has room', t => {
  const full = buildTarget('full', {used: {...none, cpuMillis: 15_000}});
  const slowFull = {...full, target: 'slow', slowness: 1.2};
  const free = buildTarget('free', {slowness: 1.5});
  t.deepEqual(chooseTarget(task, [slowFull, full], 0), {
    kind: 'place',
    target: 'full',
  });
  t.deepEqual(chooseTarget(task, [full, free], 0), {
    kind: 'place',
    target: 'free',
  });
  const taken = buildTarget('taken', {used: {...none, cpuMillis: 16_600}});
  t.deepEqual(chooseTarget(task, [taken], 0), {kind: 'full'});
});

test('what no target could ever hold is told from what has no room now', t => {
  const full = buildTarget('full', {used: {...none, cpuMillis: 16_600}});
  t.deepEqual(chooseTarget(task, [full], 0), {kind: 'full'});
  t.deepEqual(chooseTarget(task, [], 0), {kind: 'wait'});
  const huge = {...task, demand: {...task.demand, cpuMillis: 17_000}};
  t.deepEqual(chooseTarget(huge, [full], 0), {kind: 'impossible'});
  const labelled = {...task, requiredLabel: 'b'};
  t.deepEqual(chooseTarget(labelled, [full], 0), {kind: 'impossible'});
});

test('a job is refused when its caller would leave before the backlog is done', t => {
  const backlog = {workCoreMs: 16_000_000, rate: 16_000};
  const job = {chainMs: 200, dueAt: 400};
  t.is(judgeBacklog({...job, leavesAt: 1500}, backlog, 0).kind, 'admit');
  t.deepEqual(judgeBacklog({...job, leavesAt: 1000}, backlog, 0), {
    kind: 'refuse',
    retryAfterMs: 200,
  });
});

test('a job of many short tasks is spread over targets, so that their starts do not queue at one', t => {
  let targets = ['a', 'b', 'c'].map(name => buildTarget(name));
  targets.push(buildTarget('far', {isNear: false, slowness: 0.9}));
  const counts = new Map<string, number>();
  for (let i = 0; i < 8; i++) {
    const choice = chooseTarget(task, targets, 0);
    if (choice.kind !== 'place') return t.fail();
    counts.set(choice.target, (counts.get(choice.target) ?? 0) + 1);
    targets = targets.map(each =>
      each.target === choice.target ? reserveRoom(each, task) : each,
    );
  }
  t.is(counts.size, 4);
  t.true(Math.max(...counts.values()) <= 3);
});

test('tasks placed at once go to targets by twos: each target that is told costs a message', t => {
  const pool = new Map(
    Array.from({length: 8}, (_, i) => [`t${i}`, buildTarget(`t${i}`)]),
  );
  const joined = new Set<string>();
  for (let i = 0; i < 8; i++) {
    const choice = chooseTarget({...task, joined}, [...pool.values()], 0);
    if (choice.kind !== 'place') return t.fail(choice.kind);
    const {target} = choice;
    pool.set(target, reserveRoom(pool.get(target)!, task));
    joined.add(target);
  }
  t.deepEqual(
    [...pool.values()].map(({startsAhead}) => startsAhead).sort(),
    [0, 0, 0, 0, 2, 2, 2, 2],
  );
});
