import test from 'ava';
import {
  type GuardedTask,
  chooseGuardAction,
  updateUsage,
  type UsageReport,
} from '#policy';

const demand = {cores: 2, memoryMb: 100, accelerators: 0};

function buildTask(changes: Partial<GuardedTask> = {}): GuardedTask {
  return {
    demand,
    runDeadline: 10_000,
    canCheckpoint: false,
    throttled: false,
    ...changes,
  };
}

function applyReports(task: GuardedTask, ...reports: Partial<UsageReport>[]) {
  return reports.reduce(
    (one: GuardedTask, usage) =>
      updateUsage(one, {
        measuredAt: 0,
        cores: 1,
        memoryMb: 50,
        accelerators: 0,
        ...usage,
      }),
    task,
  );
}

const chooseActionKind = (task: GuardedTask, now: number) =>
  chooseGuardAction(task, now).kind;

test('a task within its demand continues until its run deadline', t => {
  const task = applyReports(buildTask(), {measuredAt: 100});
  t.is(chooseActionKind(buildTask(), 100), 'continue');
  t.is(chooseActionKind(task, 9900), 'continue');
  t.is(chooseActionKind(task, 10_000), 'stop');
});

test('a task that supports checkpoints is checkpointed before its run deadline', t => {
  t.is(chooseActionKind(buildTask({canCheckpoint: true}), 9800), 'checkpoint');
});

test('brief memory overuse throttles the task, sustained overuse ends it', t => {
  const brief = applyReports(buildTask(), {measuredAt: 100, memoryMb: 300});
  t.is(chooseActionKind(brief, 5000), 'throttle');
  const sustained = applyReports(brief, {measuredAt: 700, memoryMb: 300});
  t.is(chooseActionKind(sustained, 800), 'stop');
  t.is(
    chooseActionKind({...sustained, canCheckpoint: true}, 800),
    'checkpoint',
  );
});

test('sustained core overuse throttles the task, then ends it', t => {
  const over = {cores: 4};
  const brief = applyReports(buildTask(), {measuredAt: 100, ...over});
  t.is(chooseActionKind(brief, 200), 'continue');
  const sustained = applyReports(brief, {measuredAt: 700, ...over});
  t.is(chooseActionKind(sustained, 800), 'throttle');
  const stillOver = applyReports(
    {...sustained, throttled: true},
    {
      measuredAt: 2200,
      ...over,
    },
  );
  t.is(chooseActionKind(stillOver, 2300), 'stop');
});

test('sustained use of undemanded accelerators ends the task without throttling', t => {
  const brief = applyReports(buildTask(), {measuredAt: 100, accelerators: 1});
  t.is(chooseActionKind(brief, 200), 'continue');
  const sustained = applyReports(brief, {measuredAt: 700, accelerators: 1});
  t.is(chooseActionKind(sustained, 800), 'stop');
});

test('outdated and out-of-order reports are ignored', t => {
  const over = applyReports(buildTask(), {measuredAt: 100, memoryMb: 300});
  t.is(chooseActionKind(over, 5200), 'continue');
  const recovered = applyReports(
    over,
    {measuredAt: 700},
    {measuredAt: 650, memoryMb: 300},
  );
  t.is(chooseActionKind(recovered, 800), 'continue');
});
