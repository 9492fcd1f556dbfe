import type {Epoch, Instant, PlacementPolicy} from '#model';
import {
  closeHolder,
  connectHolder,
  countFree,
  createGrants,
  divideSlots,
  releaseSlots,
  reserveSlots,
  returnSlot,
  setSlots,
  type SlotGrants,
  takeSlot,
  updateDemand,
} from '#policy';

/** What has changed for entries and tasks since the last settlement. */
export interface Settlement<Queued> {
  /** New grants by entry epoch. */
  readonly grants: ReadonlyMap<Epoch, number>;
  /** Idle slots to ask back, by entry epoch. */
  readonly recalls: ReadonlyMap<Epoch, number>;
  /** Queued tasks that have their slot now. */
  readonly starts: readonly QueuedStart<Queued>[];
  /** Settle again then at the latest; `Infinity` when there is no need. */
  readonly againAt: Instant;
}

export interface QueuedStart<Queued> {
  readonly epoch: Epoch;
  readonly key: string;
  readonly task: Queued;
}

/**
 * The slots of one target: who holds them, and the tasks that came without a
 * grant and wait here for one. No slot is granted or taken beyond the total;
 * when the total shrinks, a task starts only once it fits.
 */
export class Slots<Queued> {
  private grants: SlotGrants = createGrants(0, 'ahead');
  private readonly queue = new Map<string, QueuedStart<Queued>>();
  private granted = new Map<Epoch, number>();
  private recalled = new Map<Epoch, number>();
  private maxQueued = 0;

  get total(): number {
    return this.grants.slots;
  }

  /** Tasks that wait here for a slot. */
  get queued(): number {
    return this.queue.size;
  }

  /** Slots held: granted, or taken by a running task. */
  get held(): number {
    return this.grants.slots - countFree(this.grants);
  }

  /** Sets how many slots there are, how they are granted, and how many tasks may wait here. */
  open(slots: number, policy: PlacementPolicy, maxQueued: number): void {
    const mode = policy.kind === 'credit' ? 'ahead' : 'on-reservation';
    this.grants = {...setSlots(this.grants, slots), mode};
    this.maxQueued = maxQueued;
  }

  /** Grants nothing more and asks back what is idle. */
  shut(): void {
    this.grants = setSlots(this.grants, 0);
    this.maxQueued = 0;
  }

  connect(epoch: Epoch, now: Instant): void {
    this.grants = connectHolder(this.grants, epoch, now);
  }

  /** Takes back what an entry held idle or waited for; its running tasks keep their slots. */
  lose(epoch: Epoch): void {
    this.granted.delete(epoch);
    this.recalled.delete(epoch);
    this.grants = closeHolder(this.grants, epoch);
    for (const [key, start] of this.queue) {
      if (start.epoch === epoch) this.queue.delete(key);
    }
  }

  /**
   * Turns one of an entry's grants into a running task. False when it has none
   * or the total has shrunk below what runs: the grant is spent all the same.
   */
  useGrant(epoch: Epoch): boolean {
    const taken = takeSlot(this.grants, epoch, true);
    this.grants = taken ?? takeGrant(this.grants, epoch);
    return taken !== undefined;
  }

  /** Takes back a grant that came with a task that does not run. */
  spendGrant(epoch: Epoch): void {
    this.grants = takeGrant(this.grants, epoch);
  }

  /** Frees the slot of a task that has ended; the entry that used it comes first for it. */
  release(epoch: Epoch, now: Instant): void {
    this.grants = returnSlot(this.grants, epoch);
    if (this.queue.size === 0) this.divide(now, epoch);
  }

  /** Queues a task for a slot; false when the queue is full. */
  enqueue(start: QueuedStart<Queued>): boolean {
    const free = Math.max(0, countFree(this.grants));
    if (this.queue.size - free >= this.maxQueued) return false;
    this.queue.set(start.key, start);
    return true;
  }

  hasQueued(key: string): boolean {
    return this.queue.has(key);
  }

  /** Takes a task of an epoch out of the queue; false when it is not there. */
  dequeue(key: string, epoch: Epoch): boolean {
    return this.queue.get(key)?.epoch === epoch && this.queue.delete(key);
  }

  /** Drops every queued task and returns them. */
  dropQueued(): readonly QueuedStart<Queued>[] {
    const starts = [...this.queue.values()];
    this.queue.clear();
    return starts;
  }

  reserve(epoch: Epoch, slots: number): void {
    this.grants = reserveSlots(this.grants, epoch, slots);
  }

  /** Withdraws reservations of an entry, and then takes idle grants back. */
  giveBack(epoch: Epoch, slots: number): void {
    this.grants = releaseSlots(this.grants, epoch, slots);
  }

  setWaiting(epoch: Epoch, waiting: number, now: Instant): void {
    this.grants = updateDemand(this.grants, epoch, waiting, now);
  }

  /** Deals out the slots that nobody holds; queued tasks come first. */
  settle(now: Instant): Settlement<Queued> {
    const starts = this.serveQueue();
    const againAt = this.divide(now);
    const {granted: grants, recalled: recalls} = this;
    this.granted = new Map();
    this.recalled = new Map();
    return {grants, recalls, starts, againAt};
  }

  private serveQueue(): QueuedStart<Queued>[] {
    const starts: QueuedStart<Queued>[] = [];
    for (const [key, start] of this.queue) {
      const taken = takeSlot(this.grants, start.epoch, false);
      if (taken === undefined) break;
      this.grants = taken;
      this.queue.delete(key);
      starts.push(start);
    }
    return starts;
  }

  private divide(now: Instant, ender?: Epoch): Instant {
    const division = divideSlots(this.grants, now, ender);
    this.grants = division.grants;
    addCounts(this.granted, division.granted);
    addCounts(this.recalled, division.recalled);
    return division.nextDivisionAt;
  }
}

function addCounts(
  sums: Map<Epoch, number>,
  counts: ReadonlyMap<Epoch, number>,
): void {
  for (const [epoch, count] of counts) {
    sums.set(epoch, (sums.get(epoch) ?? 0) + count);
  }
}

/** Takes one idle grant away from an entry that has used it up. */
function takeGrant(grants: SlotGrants, epoch: Epoch): SlotGrants {
  const holder = grants.holders.get(epoch);
  if (holder === undefined || holder.granted === 0) return grants;
  const granted = holder.granted - 1;
  const recalled = Math.min(holder.recalled, granted);
  const holders = new Map(grants.holders);
  holders.set(epoch, {...holder, granted, recalled});
  return {...grants, holders};
}
