import {
  assertInvariant,
  type Epoch,
  type Instant,
  type TaskResult,
  type TaskRef,
  type TaskStatus,
} from '#model';
import type {TaskRecord, TaskReport} from '#protocol';

/** The result of recording a start. Only `first` may run the task. */
export type StartResult =
  {readonly kind: 'first'} | {readonly kind: 'duplicate'};

type KnownTaskState =
  | {readonly kind: 'running'}
  | {
      readonly kind: 'ended';
      readonly fate: TaskResult;
      readonly runMs: number;
      readonly bytes: number;
    };

interface KnownTask {
  readonly ref: TaskRef;
  /** The epochs that started the task, in order. */
  readonly owners: readonly Epoch[];
  readonly keepUntil: Instant;
  readonly state: KnownTaskState;
  /** Sequence number, in the order of first starts, from 1. */
  readonly sequence: number;
}

/** One page of the tasks that fenced epochs started. */
export interface FencePage {
  readonly records: readonly TaskRecord[];
  /** Sequence number after which the next page begins; unset on the last page. */
  readonly next?: number;
}

type TaskKey = string;

const expiryBucketMs = 1000;

/** Limits of one page, so that it blocks the event loop of neither side for long. */
export interface PageLimits {
  readonly maxRecords: number;
  readonly maxBytes: number;
}

const defaultPageLimits: PageLimits = {
  maxRecords: 2000,
  maxBytes: 1024 * 1024,
};

/** Returns the key of a task in tables and in requests to the target. */
export function formatTask(ref: TaskRef): TaskKey {
  return `${ref.job}.${ref.task}`;
}

/**
 * Records the tasks that were started here and their outcomes. A task is
 * started at most once while its record is kept, and the record is kept until
 * `keepUntil` under any load. Only results are evicted once they exceed the
 * byte limit, delivered ones first, oldest first.
 */
export class TaskTable {
  private readonly tasks = new Map<TaskKey, KnownTask>();
  private readonly successors = new Map<Epoch, Epoch>();
  private readonly fencedEpochs = new Set<Epoch>();
  /** Ended tasks by the epoch to which the outcome must still be reported. */
  private readonly undelivered = new Map<Epoch, Set<TaskKey>>();
  private readonly deliveredResults = new Set<TaskKey>();
  private readonly undeliveredResults = new Set<TaskKey>();
  private readonly expiries = new Map<number, TaskKey[]>();
  private sweptBucket: number;
  private retainedBytes = 0;
  private runningCount = 0;
  private startCount = 0;

  constructor(
    private readonly maxRetainedBytes: number,
    now: Instant,
    private readonly pageLimits: PageLimits = defaultPageLimits,
  ) {
    this.sweptBucket = computeBucket(now) - 1;
  }

  /** Number of running tasks. */
  get running(): number {
    return this.runningCount;
  }

  /** Number of tasks on record: running, or ended and not yet expired. */
  get size(): number {
    return this.tasks.size;
  }

  /** Number of reports to send; an outcome counts once for each epoch that gets it. */
  get pendingReports(): number {
    let sum = 0;
    for (const keys of this.undelivered.values()) sum += keys.size;
    return sum;
  }

  /** True when the epoch is fenced and may start no more tasks. */
  isFenced(epoch: Epoch): boolean {
    return this.fencedEpochs.has(epoch);
  }

  has(ref: TaskRef): boolean {
    return this.tasks.has(formatTask(ref));
  }

  /**
   * Records a start by an epoch that is not fenced. The epoch of a duplicate
   * start also gets a report of the task's outcome.
   */
  start(epoch: Epoch, ref: TaskRef, keepUntil: Instant): StartResult {
    assertInvariant(!this.fencedEpochs.has(epoch), `epoch ${epoch} is fenced`);
    const key = formatTask(ref);
    const known = this.tasks.get(key);
    if (known === undefined) {
      this.tasks.set(key, {
        ref: {job: ref.job, task: ref.task},
        owners: [epoch],
        keepUntil,
        state: {kind: 'running'},
        sequence: ++this.startCount,
      });
      this.runningCount++;
      this.scheduleExpiry(key, keepUntil);
      return {kind: 'first'};
    }
    this.tasks.set(key, {
      ...known,
      owners: known.owners.includes(epoch)
        ? known.owners
        : [...known.owners, epoch],
      keepUntil: Math.max(known.keepUntil, keepUntil),
    });
    if (known.state.kind === 'ended') this.addUndelivered(epoch, key);
    return {kind: 'duplicate'};
  }

  /** Removes a task that cannot have run, so that it may be started again. */
  forget(ref: TaskRef): void {
    const key = formatTask(ref);
    assertInvariant(
      this.tasks.get(key)?.state.kind === 'running',
      `task ${key} is not running`,
    );
    this.tasks.delete(key);
    this.runningCount--;
  }

  /** Returns the epochs responsible for a task: its owners, or their successors if fenced. */
  resolveOwners(ref: TaskRef): readonly Epoch[] {
    const owners = this.tasks.get(formatTask(ref))?.owners ?? [];
    return [...new Set(owners.map(owner => this.resolveSuccessor(owner)))];
  }

  /** Records the outcome of a running task; `bytes` is the size of its result. */
  end(ref: TaskRef, fate: TaskResult, bytes: number, runMs: number): void {
    const key = formatTask(ref);
    const task = this.tasks.get(key);
    assertInvariant(
      task?.state.kind === 'running',
      `task ${key} is not running`,
    );
    this.tasks.set(key, {
      ...task,
      state: {kind: 'ended', fate, runMs, bytes},
    });
    this.runningCount--;
    this.retainedBytes += bytes;
    if (bytes > 0) this.undeliveredResults.add(key);
    for (const owner of this.resolveOwners(ref)) {
      this.addUndelivered(owner, key);
    }
    this.evictResults();
  }

  getStatus(ref: TaskRef): TaskStatus {
    const state = this.tasks.get(formatTask(ref))?.state;
    if (state === undefined) return {kind: 'never-started'};
    return state.kind === 'running'
      ? {kind: 'running'}
      : {kind: 'ended', fate: state.fate};
  }

  /** Answers a query of an epoch; an outcome returned here is not reported again. */
  query(epoch: Epoch, ref: TaskRef): TaskStatus {
    const status = this.getStatus(ref);
    if (status.kind === 'ended') {
      this.markDelivered(epoch, formatTask(ref));
    }
    return status;
  }

  /**
   * Fences epochs permanently and makes the successor responsible for their
   * tasks. Returns a page of these tasks: those whose sequence number is above
   * `after`. Tasks listed as running are reported to the successor when they
   * end; those listed as ended are not reported again.
   */
  fence(epochs: readonly Epoch[], successor: Epoch, after = 0): FencePage {
    const fenced = new Set(epochs);
    fenced.delete(successor);
    const page = this.listPage(this.createFencedFilter(fenced), after);
    for (const {ref} of page.listed) {
      for (const epoch of fenced) this.markDelivered(epoch, formatTask(ref));
    }
    for (const epoch of fenced) {
      this.fencedEpochs.add(epoch);
      this.successors.set(epoch, successor);
    }
    const records = page.listed.map(({ref}) => ({
      ...ref,
      standing: this.getStatus(ref),
    }));
    return page.isLast
      ? {records}
      : {records, next: page.listed.at(-1)!.sequence};
  }

  /**
   * Takes pending reports of an epoch until their results exceed `maxBytes`,
   * at least one if there is any; they count as delivered.
   */
  takeReports(epoch: Epoch, maxBytes: number): readonly TaskReport[] {
    const keys = this.undelivered.get(epoch);
    if (keys === undefined) return [];
    const reports: TaskReport[] = [];
    let bytes = 0;
    for (const key of [...keys]) {
      if (bytes > maxBytes) break;
      const task = this.tasks.get(key);
      this.markDelivered(epoch, key);
      if (task?.state.kind !== 'ended') continue;
      const {fate, runMs} = task.state;
      bytes += task.state.bytes;
      reports.push({...task.ref, fate, runMs});
    }
    return reports;
  }

  /** Removes ended tasks whose `keepUntil` has passed. */
  sweep(now: Instant): void {
    const current = computeBucket(now);
    for (let bucket = this.sweptBucket + 1; bucket < current; bucket++) {
      const keys = this.expiries.get(bucket) ?? [];
      this.expiries.delete(bucket);
      for (const key of keys) this.expire(key, now);
    }
    this.sweptBucket = Math.max(this.sweptBucket, current - 1);
  }

  private expire(key: TaskKey, now: Instant): void {
    const task = this.tasks.get(key);
    if (task === undefined) return;
    if (task.state.kind === 'running' || task.keepUntil > now) {
      this.scheduleExpiry(key, Math.max(task.keepUntil, now + expiryBucketMs));
      return;
    }
    this.retainedBytes -= task.state.bytes;
    this.tasks.delete(key);
    this.deliveredResults.delete(key);
    this.undeliveredResults.delete(key);
    for (const owner of this.undelivered.keys()) this.markDelivered(owner, key);
  }

  private scheduleExpiry(key: TaskKey, deadline: Instant): void {
    const bucket = Math.max(computeBucket(deadline), this.sweptBucket + 1);
    const keys = this.expiries.get(bucket);
    if (keys === undefined) this.expiries.set(bucket, [key]);
    else keys.push(key);
  }

  private resolveSuccessor(epoch: Epoch): Epoch {
    return this.listSuccession(epoch).at(-1)!;
  }

  /** Lists an epoch and its chain of successors, in order. */
  private listSuccession(epoch: Epoch): readonly Epoch[] {
    const succession = [epoch];
    let successor = this.successors.get(epoch);
    while (successor !== undefined && !succession.includes(successor)) {
      succession.push(successor);
      successor = this.successors.get(successor);
    }
    return succession;
  }

  /** Returns a predicate, with cached results, for epochs that are in `fenced` or have a successor there. */
  private createFencedFilter(
    fenced: ReadonlySet<Epoch>,
  ): (epoch: Epoch) => boolean {
    const results = new Map<Epoch, boolean>();
    return epoch => {
      const isMatch =
        results.get(epoch) ??
        this.listSuccession(epoch).some(successor => fenced.has(successor));
      results.set(epoch, isMatch);
      return isMatch;
    };
  }

  /** Lists matching tasks after a sequence number, in order, up to the page limits but at least one. */
  private listPage(
    isOwned: (epoch: Epoch) => boolean,
    after: number,
  ): {readonly listed: readonly KnownTask[]; readonly isLast: boolean} {
    const {maxRecords, maxBytes} = this.pageLimits;
    const listed: KnownTask[] = [];
    let bytes = 0;
    for (const task of this.tasks.values()) {
      if (task.sequence <= after || !task.owners.some(isOwned)) continue;
      if (listed.length >= maxRecords || bytes > maxBytes) {
        return {listed, isLast: false};
      }
      listed.push(task);
      if (task.state.kind === 'ended') bytes += task.state.bytes;
    }
    return {listed, isLast: true};
  }

  private addUndelivered(epoch: Epoch, key: TaskKey): void {
    const keys = this.undelivered.get(epoch);
    if (keys === undefined) this.undelivered.set(epoch, new Set([key]));
    else keys.add(key);
  }

  private markDelivered(epoch: Epoch, key: TaskKey): void {
    const keys = this.undelivered.get(epoch);
    if (keys?.delete(key) !== true) return;
    if (keys.size === 0) this.undelivered.delete(epoch);
    if (this.undeliveredResults.delete(key)) this.deliveredResults.add(key);
  }

  private evictResults(): void {
    for (const results of [this.deliveredResults, this.undeliveredResults]) {
      for (const key of results) {
        if (this.retainedBytes <= this.maxRetainedBytes) return;
        results.delete(key);
        this.dropResult(key);
      }
    }
  }

  private dropResult(key: TaskKey): void {
    const task = this.tasks.get(key);
    if (task?.state.kind !== 'ended') return;
    this.retainedBytes -= task.state.bytes;
    this.tasks.set(key, {
      ...task,
      state: {
        kind: 'ended',
        fate: {kind: 'unknown', detail: 'the answer is no longer kept'},
        runMs: task.state.runMs,
        bytes: 0,
      },
    });
  }
}

function computeBucket(instant: Instant): number {
  return Math.floor(instant / expiryBucketMs);
}
