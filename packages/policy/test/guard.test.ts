import test from 'ava';
import {
  type GuardedTask,
  judgeGuard,
  updateUsage,
  type UsageReport,
} from '#policy';

const demand = {cores: 2, memoryMb: 100, accelerators: 0};

function build(changes: Partial<GuardedTask> = {}): GuardedTask {
  return {
    demand,
    leaseDeadline: 10_000,
    canCheckpoint: false,
    throttled: false,
    ...changes,
  };
}

function report(task: GuardedTask, ...reports: Partial<UsageReport>[]) {
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

const judgeKind = (task: GuardedTask, now: number) =>
  judgeGuard(task, now).kind;

test('a task within its demand goes on until its lease ends', t => {
  const task = report(build(), {measuredAt: 100});
  t.is(judgeKind(build(), 100), 'continue');
  t.is(judgeKind(task, 9900), 'continue');
  t.is(judgeKind(task, 10_000), 'stop');
});

test('a task that can is checkpointed before its lease ends', t => {
  t.is(judgeKind(build({canCheckpoint: true}), 9800), 'checkpoint');
});

test('lasting memory overuse ends the task, a moment of it throttles', t => {
  const moment = report(build(), {measuredAt: 100, memoryMb: 300});
  t.is(judgeKind(moment, 5000), 'throttle');
  const lasting = report(moment, {measuredAt: 700, memoryMb: 300});
  t.is(judgeKind(lasting, 800), 'stop');
  t.is(judgeKind({...lasting, canCheckpoint: true}, 800), 'checkpoint');
});

test('lasting core overuse throttles first', t => {
  const over = {cores: 4};
  const moment = report(build(), {measuredAt: 100, ...over});
  t.is(judgeKind(moment, 200), 'continue');
  const lasting = report(moment, {measuredAt: 700, ...over});
  t.is(judgeKind(lasting, 800), 'throttle');
  const ignored = report(
    {...lasting, throttled: true},
    {
      measuredAt: 2200,
      ...over,
    },
  );
  t.is(judgeKind(ignored, 2300), 'stop');
});

test('accelerators that belong to others are not throttled but taken back', t => {
  const moment = report(build(), {measuredAt: 100, accelerators: 1});
  t.is(judgeKind(moment, 200), 'continue');
  const lasting = report(moment, {measuredAt: 700, accelerators: 1});
  t.is(judgeKind(lasting, 800), 'stop');
});

test('old and overtaken reports say nothing', t => {
  const over = report(build(), {measuredAt: 100, memoryMb: 300});
  t.is(judgeKind(over, 5200), 'continue');
  const recovered = report(
    over,
    {measuredAt: 700},
    {measuredAt: 650, memoryMb: 300},
  );
  t.is(judgeKind(recovered, 800), 'continue');
});
