import {assertInvariant, type Epoch, type PlacementPolicy} from '#model';
import {divideSlots} from './division.js';

/** Whether an agent's slots are granted ahead, on request, or not at all. */
export type SlotMode = PlacementPolicy['kind'];

/** What has changed for entries and tasks since the last settlement. */
export interface Settlement<Queued> {
  /** New grants by entry epoch. */
  readonly grants: ReadonlyMap<Epoch, number>;
  /** Idle slots to ask back, by entry epoch. */
  readonly recalls: ReadonlyMap<Epoch, number>;
  /** Queued tasks that have their slot now. */
  readonly starts: readonly QueuedStart<Queued>[];
}

export interface QueuedStart<Queued> {
  readonly epoch: Epoch;
  readonly key: string;
  readonly task: Queued;
}

type Claim<Queued> =
  | {readonly kind: 'reservation'; readonly epoch: Epoch}
  | {readonly kind: 'task'; readonly start: QueuedStart<Queued>};

interface Holder {
  granted: number;
  running: number;
  waiting: number;
  /** Reservations not yet granted. */
  reserved: number;
  /** Idle slots asked back and not yet returned. */
  recalled: number;
  connected: boolean;
}

/**
 * The slots of one target and who holds them. Grants that are out and running
 * tasks never exceed the slots by any act of this class; a smaller total takes
 * effect as slots fall free. Slots that nobody holds are dealt out when
 * `settle` is called, once a turn of the loop.
 */
export class Slots<Queued> {
  private readonly holders = new Map<Epoch, Holder>();
  private readonly claims = new Map<string, Claim<Queued>>();
  private nextReservation = 0;
  private queuedCount = 0;
  private totalSlots = 0;
  private slotMode: SlotMode = 'credit';
  private maxQueued = 0;

  get total(): number {
    return this.totalSlots;
  }

  get mode(): SlotMode {
    return this.slotMode;
  }

  /** Tasks that wait here for a slot. */
  get queued(): number {
    return this.queuedCount;
  }

  /** Slots held: granted, or taken by a running task. */
  get held(): number {
    let sum = 0;
    for (const {granted, running} of this.holders.values()) {
      sum += granted + running;
    }
    return sum;
  }

  setTotal(slots: number): void {
    this.totalSlots = slots;
  }

  setMode(mode: SlotMode): void {
    this.slotMode = mode;
  }

  setMaxQueued(tasks: number): void {
    this.maxQueued = tasks;
  }

  connect(epoch: Epoch): void {
    this.findHolder(epoch).connected = true;
  }

  /** Takes back what an entry held idle or waited for; its running tasks keep their slots. */
  lose(epoch: Epoch): void {
    this.dropClaims(epoch);
    const holder = this.holders.get(epoch);
    if (holder === undefined) return;
    holder.connected = false;
    holder.granted = 0;
    holder.waiting = 0;
    holder.recalled = 0;
    this.forgetIdle(epoch);
  }

  /** Drops every queued task and returns them. */
  dropQueued(): readonly QueuedStart<Queued>[] {
    const starts: QueuedStart<Queued>[] = [];
    for (const [key, claim] of this.claims) {
      if (claim.kind !== 'task') continue;
      this.claims.delete(key);
      starts.push(claim.start);
    }
    this.queuedCount = 0;
    return starts;
  }

  /** Turns one of an entry's grants into a running task; false when it has none. */
  useGrant(epoch: Epoch): boolean {
    const holder = this.findHolder(epoch);
    if (holder.granted === 0) return false;
    holder.granted--;
    holder.running++;
    holder.recalled = Math.min(holder.recalled, holder.granted);
    return true;
  }

  /** Frees the slot of a task that has ended or was not run after all. */
  release(epoch: Epoch): void {
    const holder = this.findHolder(epoch);
    assertInvariant(holder.running > 0, `epoch ${epoch} runs nothing`);
    holder.running--;
    this.forgetIdle(epoch);
  }

  /** Queues a task for a slot; false when the queue is full. A reservation of the entry gives its place up. */
  enqueue(start: QueuedStart<Queued>): boolean {
    this.withdrawReservation(start.epoch);
    if (this.queuedCount - this.countFree() >= this.maxQueued) return false;
    this.claims.set(start.key, {kind: 'task', start});
    this.queuedCount++;
    return true;
  }

  hasQueued(key: string): boolean {
    return this.claims.has(key);
  }

  /** Takes a task of an epoch out of the queue; false when it is not there. */
  dequeue(key: string, epoch: Epoch): boolean {
    const claim = this.claims.get(key);
    if (claim?.kind !== 'task' || claim.start.epoch !== epoch) return false;
    this.claims.delete(key);
    this.queuedCount--;
    return true;
  }

  reserve(epoch: Epoch, slots: number): void {
    const holder = this.findHolder(epoch);
    const accepted = Math.min(slots, this.maxQueued - holder.reserved);
    for (let i = 0; i < accepted; i++) {
      const key = `reservation ${this.nextReservation++}`;
      this.claims.set(key, {kind: 'reservation', epoch});
      holder.reserved++;
    }
  }

  /** Takes grants back from an entry, and then reservations. */
  giveBack(epoch: Epoch, slots: number): void {
    const holder = this.findHolder(epoch);
    const returned = Math.min(slots, holder.granted);
    holder.granted -= returned;
    holder.recalled = 0;
    for (let i = returned; i < slots && holder.reserved > 0; i++) {
      this.withdrawReservation(epoch);
    }
  }

  setWaiting(epoch: Epoch, waiting: number): void {
    this.findHolder(epoch).waiting = waiting;
  }

  /** Deals out the slots that nobody holds. */
  settle(): Settlement<Queued> {
    const grants = new Map<Epoch, number>();
    const recalls = new Map<Epoch, number>();
    const starts = this.serveClaims(grants);
    if (this.held > this.totalSlots) this.recallExcess(recalls);
    else if (this.slotMode === 'credit') this.dealAhead(grants, recalls);
    return {grants, recalls, starts};
  }

  private serveClaims(grants: Map<Epoch, number>): QueuedStart<Queued>[] {
    const starts: QueuedStart<Queued>[] = [];
    let free = this.countFree();
    for (const [key, claim] of this.claims) {
      if (free <= 0) break;
      free--;
      this.claims.delete(key);
      if (claim.kind === 'reservation') {
        this.findHolder(claim.epoch).reserved--;
        this.grant(claim.epoch, 1, grants);
        continue;
      }
      this.queuedCount--;
      this.findHolder(claim.start.epoch).running++;
      starts.push(claim.start);
    }
    return starts;
  }

  /** Asks idle slots back after the total has shrunk. */
  private recallExcess(recalls: Map<Epoch, number>): void {
    let excess = this.held - this.totalSlots;
    for (const {recalled} of this.holders.values()) excess -= recalled;
    for (const [epoch, holder] of this.holders) {
      const asked = Math.min(excess, holder.granted - holder.recalled);
      if (asked <= 0) continue;
      holder.recalled += asked;
      excess -= asked;
      recalls.set(epoch, asked);
    }
  }

  private dealAhead(
    grants: Map<Epoch, number>,
    recalls: Map<Epoch, number>,
  ): void {
    const connected = [...this.holders].filter(([, {connected}]) => connected);
    const shares = this.computeShares(connected);
    let free = this.countFree();
    let missing = 0;
    for (const [epoch, holder] of connected) {
      const lacks = shares.get(epoch)! - holder.granted - holder.running;
      if (lacks <= 0) continue;
      const given = Math.max(0, Math.min(lacks, free));
      free -= given;
      if (given > 0) this.grant(epoch, given, grants);
      const isNew = holder.granted + holder.running === 0;
      missing += Math.min(lacks - given, isNew ? lacks : holder.waiting);
    }
    for (const [, holder] of connected) missing -= holder.recalled;
    for (const [epoch, holder] of connected) {
      const surplus = holder.granted + holder.running - shares.get(epoch)!;
      const idle = holder.granted - holder.recalled;
      const asked = Math.min(missing, surplus - holder.recalled, idle);
      if (asked <= 0) continue;
      holder.recalled += asked;
      missing -= asked;
      recalls.set(epoch, asked);
    }
  }

  private computeShares(
    connected: readonly (readonly [Epoch, Holder])[],
  ): ReadonlyMap<Epoch, number> {
    let others = 0;
    for (const {connected, running} of this.holders.values()) {
      if (!connected) others += running;
    }
    return divideSlots(
      Math.max(0, this.totalSlots - others),
      connected.map(([epoch, {running, waiting}]) => ({
        epoch,
        running,
        waiting,
      })),
    );
  }

  private countFree(): number {
    return this.totalSlots - this.held;
  }

  private grant(epoch: Epoch, slots: number, grants: Map<Epoch, number>): void {
    const holder = this.findHolder(epoch);
    holder.granted += slots;
    holder.waiting = Math.max(0, holder.waiting - slots);
    grants.set(epoch, (grants.get(epoch) ?? 0) + slots);
  }

  private withdrawReservation(epoch: Epoch): void {
    const holder = this.findHolder(epoch);
    if (holder.reserved === 0) return;
    for (const [key, claim] of this.claims) {
      if (claim.kind !== 'reservation' || claim.epoch !== epoch) continue;
      this.claims.delete(key);
      holder.reserved--;
      return;
    }
  }

  private dropClaims(epoch: Epoch): void {
    for (const [key, claim] of this.claims) {
      const owner = claim.kind === 'task' ? claim.start.epoch : claim.epoch;
      if (owner !== epoch) continue;
      this.claims.delete(key);
      if (claim.kind === 'task') this.queuedCount--;
    }
    const holder = this.holders.get(epoch);
    if (holder !== undefined) holder.reserved = 0;
  }

  private findHolder(epoch: Epoch): Holder {
    const known = this.holders.get(epoch);
    if (known !== undefined) return known;
    const holder: Holder = {
      granted: 0,
      running: 0,
      waiting: 0,
      reserved: 0,
      recalled: 0,
      connected: false,
    };
    this.holders.set(epoch, holder);
    return holder;
  }

  private forgetIdle(epoch: Epoch): void {
    const holder = this.holders.get(epoch);
    if (holder === undefined || holder.connected || holder.running > 0) return;
    this.holders.delete(epoch);
  }
}
