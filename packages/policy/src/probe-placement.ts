import type {Instant} from '#model';
import {RandomSet} from './random-set.js';
import type {
  Placement,
  PlacementAction,
  PlacementEvent,
  PlacementSources,
  PlacementDecision,
  WaitingTasks,
} from './placement.js';
import {pickBySpeed} from './random-placement.js';
import {
  type KnownTargetEvent,
  type TargetState,
  TargetTable,
} from './target-table.js';

/** More probes are sent when no task could start for this long. */
const reprobeIntervalMs = 50;

/**
 * Power of d choices with late binding: each waiting task reserves a slot at d
 * targets, and a granted slot goes to the task at the head of the queue at that
 * time.
 */
export class ProbePlacement implements Placement {
  private readonly targets: TargetTable;
  /** Targets at which another slot can be reserved. */
  private readonly reservableTargets = new RandomSet<TargetState>();
  private readonly targetsWithSlots = new Set<TargetState>();
  private extraProbes = 0;
  private reprobeAt: Instant = -Infinity;

  constructor(
    private readonly probesPerTask: number,
    private readonly sources: PlacementSources,
  ) {
    this.targets = new TargetTable(sources);
  }

  apply(event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    if (event.kind === 'target-connected') {
      this.updateReservableTargets(
        this.targets.connect(event.target, event.slots, now),
      );
      return [];
    }
    const state = this.targets.find(event.target);
    if (state === undefined) return [];
    const actions = this.applyTo(state, event, now);
    this.updateReservableTargets(state);
    return actions;
  }

  place(_tasks: WaitingTasks, now: Instant): PlacementDecision {
    const state = this.targets.peekReady();
    if (state === undefined) {
      return {kind: 'wait', until: Math.max(this.reprobeAt, now)};
    }
    this.targets.start(state, true);
    this.updateReservableTargets(state);
    this.extraProbes = 0;
    this.reprobeAt = now + reprobeIntervalMs;
    return {kind: 'start', target: state.target, granted: true};
  }

  settle(waiting: number, now: Instant): readonly PlacementAction[] {
    if (waiting === 0) {
      this.extraProbes = 0;
      return this.releaseUnused(0);
    }
    if (now >= this.reprobeAt) {
      if (this.targets.reserved > 0) this.extraProbes += this.probesPerTask;
      this.reprobeAt = now + reprobeIntervalMs;
    }
    const wanted = waiting * this.probesPerTask + this.extraProbes;
    if (this.targets.reserved > wanted) return this.releaseUnused(wanted);
    return this.reserve(wanted - this.targets.reserved);
  }

  reportWaiting(waiting: number): number {
    return waiting;
  }

  private applyTo(
    state: TargetState,
    event: KnownTargetEvent,
    now: Instant,
  ): readonly PlacementAction[] {
    if (event.kind === 'slots-granted') {
      this.acceptSlots(state, event.slots);
      return [];
    }
    const actions = this.targets.apply(state, event, now);
    const isExcluded =
      event.kind === 'target-allowed' && event.maxInFlight === 0;
    return isExcluded ? this.release(state) : actions;
  }

  /**
   * Accepts at most as many slots as are reserved. A larger grant was sent
   * before the agent received a withdrawal; the agent counts that withdrawal as
   * the return of the excess slots, so they must not be used.
   */
  private acceptSlots(state: TargetState, slots: number): void {
    const accepted = Math.min(slots, state.reserved);
    this.targets.adjustReserved(state, -accepted);
    this.targets.adjustFree(state, accepted);
  }

  private reserve(slots: number): readonly PlacementAction[] {
    const counts = new Map<TargetState, number>();
    for (let i = 0; i < slots; i++) {
      const state = pickBySpeed(this.reservableTargets, this.sources);
      if (state === undefined) break;
      this.targets.adjustReserved(state, 1);
      counts.set(state, (counts.get(state) ?? 0) + 1);
      this.updateReservableTargets(state);
    }
    return [...counts].map(([{target}, count]) => ({
      kind: 'reserve',
      target,
      slots: count,
    }));
  }

  /** Withdraws reservations beyond those wanted; returns idle slots too if none is wanted. */
  private releaseUnused(wanted: number): readonly PlacementAction[] {
    const actions: PlacementAction[] = [];
    for (const state of [...this.targetsWithSlots]) {
      const excess = Math.max(0, this.targets.reserved - wanted);
      const idle = wanted === 0 ? state.free : 0;
      const withdrawn = Math.min(excess, state.reserved);
      if (idle + withdrawn === 0) continue;
      this.targets.adjustReserved(state, -withdrawn);
      this.targets.adjustFree(state, -idle);
      this.updateReservableTargets(state);
      const slots = idle + withdrawn;
      actions.push({kind: 'release', target: state.target, slots});
    }
    return actions;
  }

  private release(state: TargetState): readonly PlacementAction[] {
    const slots = state.free + state.reserved;
    if (slots === 0) return [];
    this.targets.adjustReserved(state, -state.reserved);
    this.targets.adjustFree(state, -state.free);
    return [{kind: 'release', target: state.target, slots}];
  }

  private updateReservableTargets(state: TargetState): void {
    const held = state.reserved + state.free;
    const canReserve =
      state.connected &&
      held < state.slots &&
      held + state.inFlight < state.maxInFlight;
    this.reservableTargets.set(state, canReserve);
    if (held > 0) this.targetsWithSlots.add(state);
    else this.targetsWithSlots.delete(state);
  }
}
