import {
  assertInvariant,
  type Epoch,
  type Instant,
  type TaskFate,
  type TaskRef,
  type TaskStanding,
} from '#model';
import type {TaskRecord, TaskReport} from '#protocol';

/** What a start message comes to. Only `first` may run the task. */
export type StartVerdict =
  {readonly kind: 'first'} | {readonly kind: 'duplicate'};

type EntryState =
  | {readonly kind: 'running'}
  | {
      readonly kind: 'ended';
      readonly fate: TaskFate;
      readonly runMs: number;
      readonly bytes: number;
    };

interface LedgerEntry {
  readonly ref: TaskRef;
  /** The epochs that asked for the task, the first one first. */
  readonly owners: readonly Epoch[];
  readonly keepUntil: Instant;
  readonly state: EntryState;
  /** Counts the tasks in the order of their first start, from 1. */
  readonly number: number;
}

/** A part of what fenced epochs started. */
export interface FencePage {
  readonly records: readonly TaskRecord[];
  /** Ask for the records after this number; unset when there are none. */
  readonly next?: number;
}

type TaskKey = string;

const expiryBucketMs = 1000;
/** Bounds of one page, so that neither end of it holds up its loop. */
export interface PageLimits {
  readonly maxRecords: number;
  readonly maxBytes: number;
}

const defaultPageLimits: PageLimits = {
  maxRecords: 2000,
  maxBytes: 1024 * 1024,
};

/** Names a task in tables and towards the target. */
export function formatTask(ref: TaskRef): TaskKey {
  return `${ref.job}.${ref.task}`;
}

/**
 * The start table: what was started here and what became of it.
 * A task is started at most once while its entry is kept, and the entry is
 * kept until its deadline whatever the load; only results give way, the
 * oldest delivered one first, once they exceed the bound of bytes.
 */
export class Ledger {
  private readonly entries = new Map<TaskKey, LedgerEntry>();
  private readonly heirs = new Map<Epoch, Epoch>();
  private readonly barred = new Set<Epoch>();
  /** Ended tasks by the epoch that is still to be told. */
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
    this.sweptBucket = findBucket(now) - 1;
  }

  /** Tasks that run now. */
  get running(): number {
    return this.runningCount;
  }

  /** Tasks known: running, or ended and not yet past their deadline. */
  get size(): number {
    return this.entries.size;
  }

  /** Ended tasks that some epoch has not been told of. */
  get pendingReports(): number {
    let sum = 0;
    for (const keys of this.undelivered.values()) sum += keys.size;
    return sum;
  }

  /** True when the epoch may start nothing more. */
  isBarred(epoch: Epoch): boolean {
    return this.barred.has(epoch);
  }

  has(ref: TaskRef): boolean {
    return this.entries.has(formatTask(ref));
  }

  /**
   * Records a start on behalf of an epoch that is not barred.
   * The epoch of a duplicate is told the first one's fate too.
   */
  start(epoch: Epoch, ref: TaskRef, keepUntil: Instant): StartVerdict {
    assertInvariant(!this.barred.has(epoch), `epoch ${epoch} is barred`);
    const key = formatTask(ref);
    const known = this.entries.get(key);
    if (known === undefined) {
      this.entries.set(key, {
        ref: {job: ref.job, task: ref.task},
        owners: [epoch],
        keepUntil,
        state: {kind: 'running'},
        number: ++this.startCount,
      });
      this.runningCount++;
      this.scheduleExpiry(key, keepUntil);
      return {kind: 'first'};
    }
    this.entries.set(key, {
      ...known,
      owners: known.owners.includes(epoch)
        ? known.owners
        : [...known.owners, epoch],
      keepUntil: Math.max(known.keepUntil, keepUntil),
    });
    if (known.state.kind === 'ended') this.addUndelivered(epoch, key);
    return {kind: 'duplicate'};
  }

  /** Forgets a task that provably did not run, so that it may be started again. */
  forget(ref: TaskRef): void {
    const key = formatTask(ref);
    assertInvariant(
      this.entries.get(key)?.state.kind === 'running',
      `task ${key} does not run`,
    );
    this.entries.delete(key);
    this.runningCount--;
  }

  /** Returns the live epochs that answer for a task: its owners, or their heirs. */
  resolveOwners(ref: TaskRef): readonly Epoch[] {
    const owners = this.entries.get(formatTask(ref))?.owners ?? [];
    return [...new Set(owners.map(owner => this.resolveHeir(owner)))];
  }

  /** Records the fate of a running task; `bytes` is the size of its result. */
  end(ref: TaskRef, fate: TaskFate, bytes: number, runMs: number): void {
    const key = formatTask(ref);
    const entry = this.entries.get(key);
    assertInvariant(
      entry?.state.kind === 'running',
      `task ${key} does not run`,
    );
    this.entries.set(key, {
      ...entry,
      state: {kind: 'ended', fate, runMs, bytes},
    });
    this.runningCount--;
    this.retainedBytes += bytes;
    if (bytes > 0) this.undeliveredResults.add(key);
    for (const owner of this.resolveOwners(ref)) {
      this.addUndelivered(owner, key);
    }
    this.boundResults();
  }

  /** Tells what is known of a task. */
  describeStanding(ref: TaskRef): TaskStanding {
    const state = this.entries.get(formatTask(ref))?.state;
    if (state === undefined) return {kind: 'never-started'};
    return state.kind === 'running'
      ? {kind: 'running'}
      : {kind: 'ended', fate: state.fate};
  }

  /** Answers a query of an epoch: what is told here needs no report any more. */
  query(epoch: Epoch, ref: TaskRef): TaskStanding {
    const standing = this.describeStanding(ref);
    if (standing.kind === 'ended') {
      this.markDelivered(epoch, formatTask(ref));
    }
    return standing;
  }

  /**
   * Bars epochs for good and hands what they started to the heir. Lists what is
   * kept of it after a number, a page at a time; running tasks are reported to
   * the heir later. What is listed as ended needs no report any more.
   */
  fence(epochs: readonly Epoch[], heir: Epoch, after = 0): FencePage {
    const fenced = new Set(epochs);
    fenced.delete(heir);
    const page = this.listPage(this.matchLine(fenced), after);
    for (const {ref} of page.listed) {
      for (const epoch of fenced) this.markDelivered(epoch, formatTask(ref));
    }
    for (const epoch of fenced) {
      this.barred.add(epoch);
      this.heirs.set(epoch, heir);
    }
    const records = page.listed.map(({ref}) => ({
      ...ref,
      standing: this.describeStanding(ref),
    }));
    return page.isLast
      ? {records}
      : {records, next: page.listed.at(-1)!.number};
  }

  /**
   * Takes reports that an epoch has not been given, about as many as fit in
   * `maxBytes` and at least one; they count as delivered.
   */
  takeReports(epoch: Epoch, maxBytes: number): readonly TaskReport[] {
    const keys = this.undelivered.get(epoch);
    if (keys === undefined) return [];
    const reports: TaskReport[] = [];
    let bytes = 0;
    for (const key of [...keys]) {
      if (bytes > maxBytes) break;
      const entry = this.entries.get(key);
      this.markDelivered(epoch, key);
      if (entry?.state.kind !== 'ended') continue;
      const {fate, runMs} = entry.state;
      bytes += entry.state.bytes;
      reports.push({...entry.ref, fate, runMs});
    }
    return reports;
  }

  /** Forgets the ended tasks whose deadline has passed. */
  sweep(now: Instant): void {
    const current = findBucket(now);
    for (let bucket = this.sweptBucket + 1; bucket < current; bucket++) {
      const keys = this.expiries.get(bucket) ?? [];
      this.expiries.delete(bucket);
      for (const key of keys) this.expire(key, now);
    }
    this.sweptBucket = Math.max(this.sweptBucket, current - 1);
  }

  private expire(key: TaskKey, now: Instant): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    if (entry.state.kind === 'running' || entry.keepUntil > now) {
      this.scheduleExpiry(key, Math.max(entry.keepUntil, now + expiryBucketMs));
      return;
    }
    this.retainedBytes -= entry.state.bytes;
    this.entries.delete(key);
    this.deliveredResults.delete(key);
    this.undeliveredResults.delete(key);
    for (const owner of this.undelivered.keys()) this.markDelivered(owner, key);
  }

  private scheduleExpiry(key: TaskKey, deadline: Instant): void {
    const bucket = Math.max(findBucket(deadline), this.sweptBucket + 1);
    const keys = this.expiries.get(bucket);
    if (keys === undefined) this.expiries.set(bucket, [key]);
    else keys.push(key);
  }

  private resolveHeir(epoch: Epoch): Epoch {
    return this.listHeirs(epoch).at(-1)!;
  }

  /** Lists an epoch and those that inherited from it, in order. */
  private listHeirs(epoch: Epoch): readonly Epoch[] {
    const line = [epoch];
    let heir = this.heirs.get(epoch);
    while (heir !== undefined && !line.includes(heir)) {
      line.push(heir);
      heir = this.heirs.get(heir);
    }
    return line;
  }

  /** Returns whether an epoch, or one that inherited from it, is among the fenced ones. */
  private matchLine(fenced: ReadonlySet<Epoch>): (epoch: Epoch) => boolean {
    const known = new Map<Epoch, boolean>();
    return epoch => {
      const answer =
        known.get(epoch) ??
        this.listHeirs(epoch).some(heir => fenced.has(heir));
      known.set(epoch, answer);
      return answer;
    };
  }

  /** Lists entries after a number, in its order, about as many as fit a page and at least one. */
  private listPage(
    isOwned: (epoch: Epoch) => boolean,
    after: number,
  ): {readonly listed: readonly LedgerEntry[]; readonly isLast: boolean} {
    const {maxRecords, maxBytes} = this.pageLimits;
    const listed: LedgerEntry[] = [];
    let bytes = 0;
    for (const entry of this.entries.values()) {
      if (entry.number <= after || !entry.owners.some(isOwned)) continue;
      if (listed.length >= maxRecords || bytes > maxBytes) {
        return {listed, isLast: false};
      }
      listed.push(entry);
      if (entry.state.kind === 'ended') bytes += entry.state.bytes;
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

  private boundResults(): void {
    for (const results of [this.deliveredResults, this.undeliveredResults]) {
      for (const key of results) {
        if (this.retainedBytes <= this.maxRetainedBytes) return;
        results.delete(key);
        this.dropResult(key);
      }
    }
  }

  private dropResult(key: TaskKey): void {
    const entry = this.entries.get(key);
    if (entry?.state.kind !== 'ended') return;
    this.retainedBytes -= entry.state.bytes;
    this.entries.set(key, {
      ...entry,
      state: {
        kind: 'ended',
        fate: {kind: 'unknown', detail: 'the answer is no longer kept'},
        runMs: entry.state.runMs,
        bytes: 0,
      },
    });
  }
}

function findBucket(instant: Instant): number {
  return Math.floor(instant / expiryBucketMs);
}
