import test from 'ava';
import {
  chooseTarget,
  checkBacklog,
  reserveCapacity,
  type CandidateTarget,
} from '#policy';

const none = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

function buildTarget(
  target: string,
  changes: Partial<CandidateTarget> = {},
): CandidateTarget {
  return {
    target,
    capacity: {
      kind: 'room',
      cpuMillis: 16_000,
      memoryMb: 65_536,
      accelerators: 0,
      labels: ['a', 'r1'],
    },
    used: none,
    slowness: 1,
    failing: 0,
    isInSameDomain: true,
    pendingStarts: 0,
    ...changes,
  };
}

const task = {
  demand: {cpuMillis: 1600, memoryMb: 64, accelerators: 0},
  estimateMs: 100,
  rank: 900,
  dueAt: 1000,
};

test('the fastest target with free capacity is chosen', t => {
  const targets = [
    buildTarget('slow', {slowness: 1.8}),
    buildTarget('fast', {slowness: 0.8}),
  ];
  t.deepEqual(chooseTarget(task, targets, 0), {
    kind: 'place',
    target: 'fast',
    isQueued: false,
  });
});

test('a target in another failure domain is chosen only when it saves more than the messages cost', t => {
  const far = buildTarget('far', {isInSameDomain: false, slowness: 0.95});
  const near = buildTarget('near');
  t.deepEqual(chooseTarget(task, [far, near], 0), {
    kind: 'place',
    target: 'near',
    isQueued: false,
  });
  const long = {...task, estimateMs: 1000, dueAt: 5000};
  t.deepEqual(chooseTarget(long, [far, near], 0), {
    kind: 'place',
    target: 'far',
    isQueued: false,
  });
});

test('a long task waits for a fast target while that target can still meet the due time', t => {
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
    isQueued: false,
  });
});

test('a failing target is not used while a healthy one could hold the task', t => {
  const targets = [
    buildTarget('failing', {failing: 0.8, slowness: 0.2}),
    buildTarget('sound'),
  ];
  t.deepEqual(chooseTarget(task, targets, 0), {
    kind: 'place',
    target: 'sound',
    isQueued: false,
  });
  t.deepEqual(chooseTarget(task, targets.slice(0, 1), 0), {
    kind: 'place',
    target: 'failing',
    isQueued: false,
  });
});

test('the target of a failed run is avoided, unless it is the only one', t => {
  const targets = [buildTarget('one'), buildTarget('two')];
  const again = {...task, avoid: 'one'};
  t.deepEqual(chooseTarget(again, targets, 0), {
    kind: 'place',
    target: 'two',
    isQueued: false,
  });
  t.deepEqual(chooseTarget(again, targets.slice(0, 1), 0), {
    kind: 'place',
    target: 'one',
    isQueued: false,
  });
});

test('a task is queued at a full target only where no other is queued and no target has free capacity', t => {
  const full = buildTarget('full', {used: {...none, cpuMillis: 15_000}});
  const slowFull = {...full, target: 'slow', slowness: 1.2};
  const free = buildTarget('free', {slowness: 1.5});
  t.deepEqual(chooseTarget(task, [slowFull, full], 0), {
    kind: 'place',
    target: 'full',
    isQueued: true,
  });
  t.deepEqual(chooseTarget(task, [full, free], 0), {
    kind: 'place',
    target: 'free',
    isQueued: false,
  });
  const taken = buildTarget('taken', {used: {...none, cpuMillis: 16_600}});
  t.deepEqual(chooseTarget(task, [taken], 0), {kind: 'full'});
});

test('a task that no target could ever hold is distinguished from one without free capacity', t => {
  const full = buildTarget('full', {used: {...none, cpuMillis: 16_600}});
  t.deepEqual(chooseTarget(task, [full], 0), {kind: 'full'});
  t.deepEqual(chooseTarget(task, [], 0), {kind: 'wait'});
  const huge = {...task, demand: {...task.demand, cpuMillis: 17_000}};
  t.deepEqual(chooseTarget(huge, [full], 0), {kind: 'impossible'});
  const labelled = {...task, requiredLabel: 'b'};
  t.deepEqual(chooseTarget(labelled, [full], 0), {kind: 'impossible'});
});

test('a job is refused when its caller would stop waiting before the backlog is processed', t => {
  const backlog = {workMillicoreMs: 16_000_000, rate: 16_000};
  const job = {chainMs: 200, dueAt: 400};
  t.is(checkBacklog({...job, answerDeadline: 1500}, backlog, 0).kind, 'admit');
  t.deepEqual(checkBacklog({...job, answerDeadline: 1000}, backlog, 0), {
    kind: 'refuse',
    retryAfterMs: 200,
  });
});

test('many short tasks are spread over targets, so that their starts do not queue at one agent', t => {
  let targets = ['a', 'b', 'c'].map(name => buildTarget(name));
  targets.push(buildTarget('far', {isInSameDomain: false, slowness: 0.9}));
  const counts = new Map<string, number>();
  for (let i = 0; i < 8; i++) {
    const choice = chooseTarget(task, targets, 0);
    if (choice.kind !== 'place') return t.fail();
    counts.set(choice.target, (counts.get(choice.target) ?? 0) + 1);
    targets = targets.map(each =>
      each.target === choice.target ? reserveCapacity(each, task) : each,
    );
  }
  t.is(counts.size, 4);
  t.true(Math.max(...counts.values()) <= 3);
});

test('tasks placed together go to targets in twos, as each further target costs a message', t => {
  const pool = new Map(
    Array.from({length: 8}, (_, i) => [`t${i}`, buildTarget(`t${i}`)]),
  );
  const batchTargets = new Set<string>();
  for (let i = 0; i < 8; i++) {
    const choice = chooseTarget({...task, batchTargets}, [...pool.values()], 0);
    if (choice.kind !== 'place') return t.fail(choice.kind);
    const {target} = choice;
    pool.set(target, reserveCapacity(pool.get(target)!, task));
    batchTargets.add(target);
  }
  t.deepEqual(
    [...pool.values()].map(({pendingStarts}) => pendingStarts).sort(),
    [0, 0, 0, 0, 2, 2, 2, 2],
  );
});
