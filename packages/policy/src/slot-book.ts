import {
  assertInvariant,
  failUnreachable,
  type Instant,
  type TargetId,
} from '#model';
import {Heap, type HeapElement} from './heap.js';
import type {
  PlacementAction,
  PlacementEvent,
  PlacementSources,
} from './placement.js';

/** One target as the placement of an entry knows it. */
export interface BookedTarget extends HeapElement {
  readonly target: TargetId;
  slots: number;
  connected: boolean;
  inView: boolean;
  maxInFlight: number;
  /** Granted slots not in use. */
  free: number;
  /** Slots asked for and not granted yet. */
  reserved: number;
  inFlight: number;
  /** Expected run time in ms. */
  runMs: number;
  /** Targets of one class count as equally fast. */
  speedClass: number;
  /** Turns on equal speed: the one used longest ago goes first. */
  turn: number;
  /** Demand is not told again before then. */
  demandDueAt: Instant;
  demandPauseMs: number;
  /** Slots of ended tasks that have not been granted again. */
  slotsDue: number;
}

/** What happens to a target that is booked already. */
export type BookedEvent = Exclude<PlacementEvent, {kind: 'target-connected'}>;

/** Slots in use in one speed class, and how fast they fall free. */
interface ClassLoad {
  inFlight: number;
  endsPerMs: number;
}

/** Where the next slot that falls free may be expected. */
export interface FasterSlots {
  readonly endsPerMs: number;
  readonly runMs: number;
}

/** Run times within this factor count as equal. */
const speedClassGrowth = 1.3;

/**
 * The targets of one service, their slots and the tasks in flight.
 * Free granted slots are kept in the order of their targets' speed.
 */
export class SlotBook {
  private readonly targets = new Map<TargetId, BookedTarget>();
  private readonly ready = new Heap<BookedTarget>(compareReady);
  private readonly loads = new Map<number, ClassLoad>();
  private nextTurn = 0;
  private reservedSlots = 0;

  constructor(private readonly sources: PlacementSources) {}

  /** Slots asked for at all targets and not granted yet. */
  get reserved(): number {
    return this.reservedSlots;
  }

  find(target: TargetId): BookedTarget | undefined {
    return this.targets.get(target);
  }

  list(): IterableIterator<BookedTarget> {
    return this.targets.values();
  }

  /** Opens a target's slots: none is granted or reserved yet. */
  connect(target: TargetId, slots: number, now: Instant): BookedTarget {
    const known = this.targets.get(target) ?? this.addTarget(target, now);
    this.clearSlots(known);
    known.slots = slots;
    known.connected = true;
    known.inView = true;
    this.refresh(known);
    return known;
  }

  /** Takes in an event as every policy does unless it says otherwise; returns what it calls for. */
  apply(
    booked: BookedTarget,
    event: BookedEvent,
    now: Instant,
  ): readonly PlacementAction[] {
    switch (event.kind) {
      case 'target-disconnected':
        this.close(booked);
        return [];
      case 'target-gone':
        this.retire(booked);
        return [];
      case 'target-allowed':
        this.allow(booked, event.maxInFlight);
        return [];
      case 'slots-granted':
        this.grant(booked, event.slots);
        return [];
      case 'slots-recalled':
        return this.giveBack(booked, event.slots);
      case 'start-unused':
        this.end(booked, event.granted);
        return [];
      case 'task-ended':
        this.end(booked, false);
        this.updateSpeed(booked, now);
        return [];
      default:
        return failUnreachable(event);
    }
  }

  close(booked: BookedTarget): void {
    booked.connected = false;
    this.clearSlots(booked);
    this.refresh(booked);
  }

  /** Forgets a target once nothing is in flight there. */
  retire(booked: BookedTarget): void {
    booked.inView = false;
    this.close(booked);
    this.forgetSpent(booked);
  }

  allow(booked: BookedTarget, maxInFlight: number): void {
    booked.maxInFlight = maxInFlight;
    this.refresh(booked);
  }

  /** Changes the number of slots asked for. */
  reserve(booked: BookedTarget, slots: number): void {
    booked.reserved += slots;
    this.reservedSlots += slots;
    assertInvariant(booked.reserved >= 0, `${booked.target} reserves below 0`);
  }

  /** Adds granted slots, or takes idle ones away. */
  grant(booked: BookedTarget, slots: number): void {
    booked.free += slots;
    assertInvariant(booked.free >= 0, `${booked.target} has no idle slot`);
    this.refresh(booked);
  }

  /** Counts a task as sent. */
  start(booked: BookedTarget, granted: boolean): void {
    booked.turn = this.nextTurn++;
    this.addInFlight(booked, 1);
    if (granted) this.grant(booked, -1);
    else this.refresh(booked);
  }

  /** Counts a task as ended; `granted` gives its slot back unused. One started by an earlier placement is ignored. */
  end(booked: BookedTarget, granted: boolean): void {
    if (booked.inFlight === 0) return;
    this.addInFlight(booked, -1);
    if (granted && booked.connected) booked.free++;
    this.refresh(booked);
    this.forgetSpent(booked);
  }

  /** Takes in what was observed of a target's speed since. */
  updateSpeed(booked: BookedTarget, now: Instant): void {
    const {service, runTimes} = this.sources;
    this.addLoad(booked, -booked.inFlight);
    booked.runMs = runTimes.estimateMeanOnTarget(service, booked.target, now);
    booked.speedClass = rankSpeed(booked.runMs);
    this.addLoad(booked, booked.inFlight);
    if (booked.position !== -1) this.ready.update(booked);
  }

  /** Returns the fastest target with a granted slot that may be used. */
  peekReady(): BookedTarget | undefined {
    return this.ready.peek();
  }

  /** Sums the slots in use at targets clearly faster than the given one. */
  sumFaster(booked: BookedTarget): FasterSlots {
    let inFlight = 0;
    let endsPerMs = 0;
    for (const [speedClass, load] of this.loads) {
      if (speedClass >= booked.speedClass) continue;
      inFlight += load.inFlight;
      endsPerMs += load.endsPerMs;
    }
    return {endsPerMs, runMs: endsPerMs === 0 ? 0 : inFlight / endsPerMs};
  }

  /** Gives back idle slots that the agent asked for, as many as there are. */
  private giveBack(
    booked: BookedTarget,
    recalled: number,
  ): readonly PlacementAction[] {
    const slots = Math.min(recalled, booked.free);
    if (slots === 0) return [];
    this.grant(booked, -slots);
    return [{kind: 'release', target: booked.target, slots}];
  }

  private addTarget(target: TargetId, now: Instant): BookedTarget {
    const {service, runTimes} = this.sources;
    const runMs = runTimes.estimateMeanOnTarget(service, target, now);
    const booked: BookedTarget = {
      target,
      slots: 0,
      connected: false,
      inView: true,
      maxInFlight: Infinity,
      free: 0,
      reserved: 0,
      inFlight: 0,
      runMs,
      speedClass: rankSpeed(runMs),
      turn: this.nextTurn++,
      demandDueAt: -Infinity,
      demandPauseMs: 0,
      slotsDue: 0,
      position: -1,
    };
    this.targets.set(target, booked);
    return booked;
  }

  private clearSlots(booked: BookedTarget): void {
    this.reserve(booked, -booked.reserved);
    booked.free = 0;
    booked.slotsDue = 0;
  }

  private addInFlight(booked: BookedTarget, tasks: number): void {
    booked.inFlight += tasks;
    this.addLoad(booked, tasks);
  }

  private addLoad(booked: BookedTarget, tasks: number): void {
    if (tasks === 0) return;
    const load = this.loads.get(booked.speedClass) ?? {
      inFlight: 0,
      endsPerMs: 0,
    };
    load.inFlight += tasks;
    load.endsPerMs += tasks / booked.runMs;
    if (load.inFlight === 0) this.loads.delete(booked.speedClass);
    else this.loads.set(booked.speedClass, load);
  }

  private refresh(booked: BookedTarget): void {
    const usable =
      booked.connected &&
      booked.free > 0 &&
      booked.inFlight < booked.maxInFlight;
    if (usable && booked.position === -1) this.ready.push(booked);
    else if (usable) this.ready.update(booked);
    else if (booked.position !== -1) this.ready.remove(booked);
  }

  private forgetSpent(booked: BookedTarget): void {
    if (!booked.inView && booked.inFlight === 0) {
      this.targets.delete(booked.target);
    }
  }
}

function rankSpeed(runMs: number): number {
  return Math.round(Math.log(runMs) / Math.log(speedClassGrowth));
}

function compareReady(one: BookedTarget, other: BookedTarget): number {
  if (one.speedClass !== other.speedClass) {
    return one.speedClass - other.speedClass;
  }
  return one.turn - other.turn;
}
