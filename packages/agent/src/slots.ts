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

/** Changes for entries and queued tasks since the last assignment. */
export interface SlotAssignment<Queued> {
  /** New grants by entry epoch. */
  readonly grants: ReadonlyMap<Epoch, number>;
  /** Idle slots to recall, by entry epoch. */
  readonly recalls: ReadonlyMap<Epoch, number>;
  /** Queued tasks that now have a slot. */
  readonly starts: readonly QueuedStart<Queued>[];
  /** When slots must be assigned again at the latest; `Infinity` when there is no need. */
  readonly nextPassAt: Instant;
}

export interface QueuedStart<Queued> {
  readonly epoch: Epoch;
  readonly key: string;
  readonly task: Queued;
}

/**
 * The slots of one target: which epochs hold them, and a queue of tasks that
 * arrived without a grant. No more slots are granted or taken than the total;
 * after the total shrinks, a task starts only once it fits.
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

  /** Number of tasks that wait for a slot. */
  get queued(): number {
    return this.queue.size;
  }

  /** Number of slots that are granted or taken by a running task. */
  get held(): number {
    return this.grants.slots - countFree(this.grants);
  }

  /** Sets the number of slots, how they are granted, and how many tasks may be queued. */
  open(slots: number, policy: PlacementPolicy, maxQueued: number): void {
    const mode = policy.kind === 'credit' ? 'ahead' : 'on-reservation';
    this.grants = {...setSlots(this.grants, slots), mode};
    this.maxQueued = maxQueued;
  }

  /** Stops granting slots and recalls idle ones. */
  close(): void {
    this.grants = setSlots(this.grants, 0);
    this.maxQueued = 0;
  }

  connect(epoch: Epoch, now: Instant): void {
    this.grants = connectHolder(this.grants, epoch, now);
  }

  /** Drops an epoch's idle grants, reservations and queued tasks; its running tasks keep their slots. */
  removeEpoch(epoch: Epoch): void {
    this.granted.delete(epoch);
    this.recalled.delete(epoch);
    this.grants = closeHolder(this.grants, epoch);
    for (const [key, start] of this.queue) {
      if (start.epoch === epoch) this.queue.delete(key);
    }
  }

  /**
   * Uses one of an epoch's grants for a task. False when it has none or all
   * slots are taken after the total shrank; the grant is consumed either way.
   */
  useGrant(epoch: Epoch): boolean {
    const taken = takeSlot(this.grants, epoch, true);
    this.grants = taken ?? removeGrant(this.grants, epoch);
    return taken !== undefined;
  }

  /** Removes the grant that came with a task that does not run. */
  discardGrant(epoch: Epoch): void {
    this.grants = removeGrant(this.grants, epoch);
  }

  /** Frees the slot of a task that has ended; the epoch that used it has priority for it. */
  release(epoch: Epoch, now: Instant): void {
    this.grants = returnSlot(this.grants, epoch);
    if (this.queue.size === 0) this.divide(now, epoch);
  }

  /** Queues a task until a slot is free; false when the queue is full. */
  enqueue(start: QueuedStart<Queued>): boolean {
    const free = Math.max(0, countFree(this.grants));
    if (this.queue.size - free >= this.maxQueued) return false;
    this.queue.set(start.key, start);
    return true;
  }

  hasQueued(key: string): boolean {
    return this.queue.has(key);
  }

  /** Removes a task of an epoch from the queue; false when it is not queued. */
  dequeue(key: string, epoch: Epoch): boolean {
    return this.queue.get(key)?.epoch === epoch && this.queue.delete(key);
  }

  /** Empties the queue and returns the tasks that were in it. */
  dropQueued(): readonly QueuedStart<Queued>[] {
    const starts = [...this.queue.values()];
    this.queue.clear();
    return starts;
  }

  reserve(epoch: Epoch, slots: number): void {
    this.grants = reserveSlots(this.grants, epoch, slots);
  }

  /** Cancels reservations of an epoch first, then takes back idle grants. */
  releaseUnused(epoch: Epoch, slots: number): void {
    this.grants = releaseSlots(this.grants, epoch, slots);
  }

  setWaiting(epoch: Epoch, waiting: number, now: Instant): void {
    this.grants = updateDemand(this.grants, epoch, waiting, now);
  }

  /** Assigns free slots; queued tasks take precedence over grants. */
  assignSlots(now: Instant): SlotAssignment<Queued> {
    const starts = this.dequeueReady();
    const nextPassAt = this.divide(now);
    const {granted: grants, recalled: recalls} = this;
    this.granted = new Map();
    this.recalled = new Map();
    return {grants, recalls, starts, nextPassAt};
  }

  private dequeueReady(): QueuedStart<Queued>[] {
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

  private divide(now: Instant, preferredEpoch?: Epoch): Instant {
    const division = divideSlots(this.grants, now, preferredEpoch);
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

/** Removes one idle grant of an epoch. */
function removeGrant(grants: SlotGrants, epoch: Epoch): SlotGrants {
  const holder = grants.holders.get(epoch);
  if (holder === undefined || holder.granted === 0) return grants;
  const granted = holder.granted - 1;
  const recalled = Math.min(holder.recalled, granted);
  const holders = new Map(grants.holders);
  holders.set(epoch, {...holder, granted, recalled});
  return {...grants, holders};
}
