import {
  type CandidateTarget,
  chooseTarget,
  reserveCapacity,
  type ReadyTask,
} from '#policy';

/** How a task near a full rack is placed. */
export type Waiting =
  | {readonly kind: 'never'}
  /** Published delay scheduling: any task waits for its rack this long, in ms. */
  | {readonly kind: 'fixed'; readonly waitMs: number}
  /** The product's decision; `toldFactor` is the remote factor that it is told. */
  | {readonly kind: 'decided'; readonly toldFactor: number};

export interface HotRackOptions {
  /** Work that wants the hot rack, divided by its room. */
  readonly hotLoad: number;
  /** True factor on run times outside the data's rack. */
  readonly factor: number;
  readonly waiting: Waiting;
  /** Age of the loads that placement sees, in ms. */
  readonly reportAgeMs: number;
  /** When the hot rack's targets are lost. */
  readonly rackLostAt?: number;
  readonly seed: number;
}

export interface HotRackResult {
  /** Mean time from arrival to end, in ms. */
  readonly meanMs: number;
  /** Share of tasks of each kind that ended in time. */
  readonly hotInTime: number;
  readonly otherInTime: number;
  /** Share of the work done that was added by distance. */
  readonly detourShare: number;
}

interface ModelTask {
  readonly isHot: boolean;
  readonly arrivedAt: number;
  readonly dueAt: number;
  deadline?: number;
}

interface ModelRun {
  readonly task: ModelTask;
  readonly target: number;
  readonly endsAt: number;
  readonly workMs: number;
}

const racks = 4;
const targetsPerRack = 4;
const slots = 4;
const runMs = 200;
const slackMs = 150;
const stepMs = 5;
const arrivalsEndAt = 5000;
/** Load that wants no rack, as a share of all room. */
const otherLoad = 0.35;
const demand = {cpuMillis: 1000, memoryMb: 1, accelerators: 0};

/** Replays tasks of which many want one rack on a pool of targets. Deterministic by its seed. */
export function replayHotRack(options: HotRackOptions): HotRackResult {
  const draw = createDraw(options.seed);
  const targetCount = racks * targetsPerRack;
  const counts: number[] = new Array<number>(targetCount).fill(0);
  let reported = [...counts];
  let reportedAt = 0;
  let runs: ModelRun[] = [];
  let waiting: ModelTask[] = [];
  const ended: {task: ModelTask; at: number}[] = [];
  let detourMs = 0;
  let workMs = 0;
  const perStep = (load: number, targets: number) =>
    (load * targets * slots * stepMs) / runMs;
  let hotOwed = 0;
  let otherOwed = 0;
  for (
    let now = 0;
    now < arrivalsEndAt || runs.length + waiting.length > 0;
    now += stepMs
  ) {
    for (const {task, target, endsAt} of runs) {
      if (endsAt > now) continue;
      counts[target]!--;
      ended.push({task, at: endsAt});
    }
    runs = runs.filter(({endsAt}) => endsAt > now);
    const isRackLost = now >= (options.rackLostAt ?? Infinity);
    if (isRackLost) {
      for (const {task, target} of runs) {
        if (target >= targetsPerRack) continue;
        counts[target]!--;
        waiting.push(task);
      }
      runs = runs.filter(({target}) => target >= targetsPerRack);
    }
    if (now < arrivalsEndAt) {
      hotOwed += 2 * draw() * perStep(options.hotLoad, targetsPerRack);
      otherOwed += 2 * draw() * perStep(otherLoad, targetCount);
    }
    for (; hotOwed >= 1; hotOwed--) waiting.push(openTask(true, now));
    for (; otherOwed >= 1; otherOwed--) waiting.push(openTask(false, now));
    if (now - reportedAt >= options.reportAgeMs) {
      reported = [...counts];
      reportedAt = now;
    }
    let pool = reported
      .map((used, i) => describeTarget(i, used))
      .filter((_, i) => !isRackLost || i >= targetsPerRack);
    const still: ModelTask[] = [];
    let nearWaitingMillis = 0;
    for (const task of waiting) {
      const choice = chooseTarget(
        describeTask(task, nearWaitingMillis, options, now),
        pool,
        now,
      );
      const at = choice.kind === 'place' ? Number(choice.target) : -1;
      if (choice.kind === 'wait-near') {
        task.deadline ??= choice.deadline;
        nearWaitingMillis += demand.cpuMillis;
      }
      if (at < 0 || counts[at]! >= slots) {
        still.push(task);
        continue;
      }
      const isRemote = task.isHot && at >= targetsPerRack;
      const taskMs = runMs * (0.6 + 0.8 * draw());
      const spentMs = taskMs * (isRemote ? options.factor : 1);
      counts[at]!++;
      reported[at]!++;
      runs.push({task, target: at, endsAt: now + spentMs, workMs: spentMs});
      workMs += spentMs;
      detourMs += spentMs - taskMs;
      pool = pool.map(target =>
        target.target === String(at)
          ? reserveCapacity(target, {demand, rank: task.dueAt})
          : target,
      );
    }
    waiting = still;
  }
  const inTime = (isHot: boolean) => {
    const own = ended.filter(({task}) => task.isHot === isHot);
    return own.filter(({task, at}) => at <= task.dueAt).length / own.length;
  };
  const totalMs = ended.reduce(
    (sum, {task, at}) => sum + at - task.arrivedAt,
    0,
  );
  return {
    meanMs: totalMs / ended.length,
    hotInTime: inTime(true),
    otherInTime: inTime(false),
    detourShare: detourMs / workMs,
  };
}

function openTask(isHot: boolean, now: number): ModelTask {
  return {isHot, arrivedAt: now, dueAt: now + runMs * 1.6 + slackMs};
}

function describeTarget(index: number, used: number): CandidateTarget {
  return {
    target: String(index),
    capacity: {
      kind: 'room',
      cpuMillis: slots * demand.cpuMillis,
      memoryMb: 1000,
      accelerators: 0,
      labels: [`rack-${Math.floor(index / targetsPerRack)}`],
    },
    used: {...demand, cpuMillis: used * demand.cpuMillis, memoryMb: used},
    slowness: 1,
    failing: 0,
    isInSameDomain: true,
    pendingStarts: 0,
  };
}

function describeTask(
  {isHot, arrivedAt, dueAt, deadline}: ModelTask,
  nearWaitingMillis: number,
  {waiting, factor}: HotRackOptions,
  now: number,
): ReadyTask {
  const task: ReadyTask = {
    demand,
    estimateMs: runMs,
    rank: dueAt,
    dueAt,
    ...(isHot && {dataRack: 'rack-0'}),
  };
  switch (waiting.kind) {
    case 'never':
      return {...task, locality: {remoteFactor: factor}, nearWaitDeadline: 0};
    case 'fixed':
      // A factor beyond any gain makes the task wait until the deadline.
      return {
        ...task,
        ...(now < arrivedAt + waiting.waitMs && {
          locality: {remoteFactor: 100},
          dueAt: Infinity,
        }),
      };
    case 'decided':
      return {
        ...task,
        locality: {remoteFactor: waiting.toldFactor},
        nearWaitDeadline: deadline,
        nearWaitingMillis,
      };
  }
}

/** Draws numbers from 0 to 1 (mulberry32). */
function createDraw(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let bits = Math.imul(state ^ (state >>> 15), state | 1);
    bits ^= bits + Math.imul(bits ^ (bits >>> 7), bits | 61);
    return ((bits ^ (bits >>> 14)) >>> 0) / 2 ** 32;
  };
}
