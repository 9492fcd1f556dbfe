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

/** The state of one target in an entry's placement. */
export interface TargetState extends HeapElement {
  readonly target: TargetId;
  slots: number;
  connected: boolean;
  /** False once the target has left the membership view. */
  inView: boolean;
  maxInFlight: number;
  /** Granted slots that are idle. */
  free: number;
  /** Slots reserved and not granted yet. */
  reserved: number;
  inFlight: number;
  /** Expected run time in ms. */
  runMs: number;
  /** Rounded logarithm of the run time; targets of one class count as equally fast. */
  speedClass: number;
  /** Sequence number of the last start; within a speed class the lowest goes first. */
  useOrder: number;
  /** No demand message is due before then. */
  demandDueAt: Instant;
  /** Delay after the next demand message; doubles with each until more slots are granted. */
  demandDelayMs: number;
  /** Slots freed by ended tasks that the agent has not granted again. */
  slotsDue: number;
}

/** An event of a target that is already in the table. */
export type KnownTargetEvent = Exclude<
  PlacementEvent,
  {kind: 'target-connected'}
>;

/** Slots in use in one speed class, and the rate at which they become free. */
interface SpeedClassLoad {
  inFlight: number;
  completionsPerMs: number;
}

/** The completion rate and the mean run time of the slots in use on faster targets. */
export interface FasterLoad {
  readonly completionsPerMs: number;
  readonly runMs: number;
}

/** Ratio of the run times of adjacent speed classes. */
const speedClassRatio = 1.3;

/**
 * The targets of one service with their slots and tasks in flight. Targets with
 * usable granted slots are kept ordered by speed.
 */
export class TargetTable {
  private readonly targets = new Map<TargetId, TargetState>();
  private readonly ready = new Heap<TargetState>(compareReady);
  private readonly loads = new Map<number, SpeedClassLoad>();
  private nextUseOrder = 0;
  private reservedSlots = 0;

  constructor(private readonly sources: PlacementSources) {}

  /** Slots reserved at all targets and not granted yet. */
  get reserved(): number {
    return this.reservedSlots;
  }

  find(target: TargetId): TargetState | undefined {
    return this.targets.get(target);
  }

  list(): IterableIterator<TargetState> {
    return this.targets.values();
  }

  /** Adds a target, or resets the slots of a known one; none is granted or reserved afterwards. */
  connect(target: TargetId, slots: number, now: Instant): TargetState {
    const state = this.targets.get(target) ?? this.addTarget(target, now);
    this.clearSlots(state);
    state.slots = slots;
    state.connected = true;
    state.inView = true;
    this.updateReady(state);
    return state;
  }

  /** Applies an event in the default way and returns the messages to send. */
  apply(
    state: TargetState,
    event: KnownTargetEvent,
    now: Instant,
  ): readonly PlacementAction[] {
    switch (event.kind) {
      case 'target-disconnected':
        this.close(state);
        return [];
      case 'target-gone':
        this.removeFromView(state);
        return [];
      case 'target-allowed':
        this.limitInFlight(state, event.maxInFlight);
        return [];
      case 'slots-granted':
        this.adjustFree(state, event.slots);
        return [];
      case 'slots-recalled':
        return this.releaseIdle(state, event.slots);
      case 'start-unused':
        this.end(state, event.granted);
        return [];
      case 'task-ended':
        this.end(state, false);
        this.updateSpeed(state, now);
        return [];
      default:
        return failUnreachable(event);
    }
  }

  close(state: TargetState): void {
    state.connected = false;
    this.clearSlots(state);
    this.updateReady(state);
  }

  /** Disconnects a target that left the view; its state is dropped once nothing is in flight. */
  removeFromView(state: TargetState): void {
    state.inView = false;
    this.close(state);
    this.removeIfUnused(state);
  }

  limitInFlight(state: TargetState, maxInFlight: number): void {
    state.maxInFlight = maxInFlight;
    this.updateReady(state);
  }

  /** Adds to the reserved slots; a negative number subtracts. */
  adjustReserved(state: TargetState, slots: number): void {
    state.reserved += slots;
    this.reservedSlots += slots;
    assertInvariant(
      state.reserved >= 0,
      `${state.target} has a negative number of reserved slots`,
    );
  }

  /** Adds to the idle granted slots; a negative number subtracts. */
  adjustFree(state: TargetState, slots: number): void {
    state.free += slots;
    assertInvariant(
      state.free >= 0,
      `${state.target} has a negative number of idle slots`,
    );
    this.updateReady(state);
  }

  /** Counts a task as in flight; with `granted` it uses an idle slot. */
  start(state: TargetState, granted: boolean): void {
    state.useOrder = this.nextUseOrder++;
    this.addInFlight(state, 1);
    if (granted) this.adjustFree(state, -1);
    else this.updateReady(state);
  }

  /**
   * Counts a task as ended; with `granted` its slot becomes idle again. Ignored
   * when none is in flight, as for a task that an earlier placement started.
   */
  end(state: TargetState, granted: boolean): void {
    if (state.inFlight === 0) return;
    this.addInFlight(state, -1);
    if (granted && state.connected) state.free++;
    this.updateReady(state);
    this.removeIfUnused(state);
  }

  /** Updates a target's expected run time and speed class from the observed run times. */
  updateSpeed(state: TargetState, now: Instant): void {
    const {service, runTimes} = this.sources;
    this.addLoad(state, -state.inFlight);
    state.runMs = runTimes.estimateMeanOnTarget(service, state.target, now);
    state.speedClass = computeSpeedClass(state.runMs);
    this.addLoad(state, state.inFlight);
    if (state.position !== -1) this.ready.update(state);
  }

  /** Returns the fastest target with an idle granted slot and fewer tasks in flight than its limit. */
  peekReady(): TargetState | undefined {
    return this.ready.peek();
  }

  /** Sums the load of the targets in faster speed classes than the given one. */
  sumFasterLoad(state: TargetState): FasterLoad {
    let inFlight = 0;
    let completionsPerMs = 0;
    for (const [speedClass, load] of this.loads) {
      if (speedClass >= state.speedClass) continue;
      inFlight += load.inFlight;
      completionsPerMs += load.completionsPerMs;
    }
    return {
      completionsPerMs,
      runMs: completionsPerMs === 0 ? 0 : inFlight / completionsPerMs,
    };
  }

  /** Releases recalled slots, as many as are idle. */
  private releaseIdle(
    state: TargetState,
    recalled: number,
  ): readonly PlacementAction[] {
    const slots = Math.min(recalled, state.free);
    if (slots === 0) return [];
    this.adjustFree(state, -slots);
    return [{kind: 'release', target: state.target, slots}];
  }

  private addTarget(target: TargetId, now: Instant): TargetState {
    const {service, runTimes} = this.sources;
    const runMs = runTimes.estimateMeanOnTarget(service, target, now);
    const state: TargetState = {
      target,
      slots: 0,
      connected: false,
      inView: true,
      maxInFlight: Infinity,
      free: 0,
      reserved: 0,
      inFlight: 0,
      runMs,
      speedClass: computeSpeedClass(runMs),
      useOrder: this.nextUseOrder++,
      demandDueAt: -Infinity,
      demandDelayMs: 0,
      slotsDue: 0,
      position: -1,
    };
    this.targets.set(target, state);
    return state;
  }

  private clearSlots(state: TargetState): void {
    this.adjustReserved(state, -state.reserved);
    state.free = 0;
    state.slotsDue = 0;
  }

  private addInFlight(state: TargetState, tasks: number): void {
    state.inFlight += tasks;
    this.addLoad(state, tasks);
  }

  private addLoad(state: TargetState, tasks: number): void {
    if (tasks === 0) return;
    const load = this.loads.get(state.speedClass) ?? {
      inFlight: 0,
      completionsPerMs: 0,
    };
    load.inFlight += tasks;
    load.completionsPerMs += tasks / state.runMs;
    if (load.inFlight === 0) this.loads.delete(state.speedClass);
    else this.loads.set(state.speedClass, load);
  }

  private updateReady(state: TargetState): void {
    const isUsable =
      state.connected && state.free > 0 && state.inFlight < state.maxInFlight;
    if (isUsable && state.position === -1) this.ready.push(state);
    else if (isUsable) this.ready.update(state);
    else if (state.position !== -1) this.ready.remove(state);
  }

  private removeIfUnused(state: TargetState): void {
    if (!state.inView && state.inFlight === 0) {
      this.targets.delete(state.target);
    }
  }
}

function computeSpeedClass(runMs: number): number {
  return Math.round(Math.log(runMs) / Math.log(speedClassRatio));
}

function compareReady(one: TargetState, other: TargetState): number {
  if (one.speedClass !== other.speedClass) {
    return one.speedClass - other.speedClass;
  }
  return one.useOrder - other.useOrder;
}
