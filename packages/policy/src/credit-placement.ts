import {failUnreachable, type Instant, type Objective} from '#model';
import {RandomSet} from './random-set.js';
import type {
  Placement,
  PlacementAction,
  PlacementEvent,
  PlacementSources,
  PlacementDecision,
  WaitingTasks,
} from './placement.js';
import {
  type KnownTargetEvent,
  type TargetState,
  TargetTable,
} from './target-table.js';

/** How often an entry reports its waiting tasks to agents whose slots other entries hold. */
interface DemandLimits {
  /** Waiting tasks for each demand message of a round. */
  readonly tasksPerDemand: number;
  /** Between two rounds of demand messages. */
  readonly roundIntervalMs: number;
  /** Initial delay before another demand message to the same agent. */
  readonly minDelayMs: number;
}

const responseTimeDemandLimits: DemandLimits = {
  tasksPerDemand: 4,
  roundIntervalMs: 5,
  minDelayMs: 100,
};
const fewestMessagesDemandLimits: DemandLimits = {
  tasksPerDemand: 8,
  roundIntervalMs: 20,
  minDelayMs: 200,
};

const maxDemandsPerRound = 4;
const maxDemandDraws = 8;
const maxDemandDelayMs = 800;
/** Minimum saving by waiting for a faster slot, as a share of the run time on the slow one. */
const minSavedShare = 0.1;

/**
 * Starts tasks immediately on slots that agents granted in advance, the fastest
 * target first. No message precedes a start while granted slots last. Once they
 * are used up, a few agents per round receive the number of waiting tasks and
 * can move idle grants to this entry.
 *
 * A slow slot stays idle only while even the last waiting task is expected to
 * complete earlier on a faster one: waiting / (completions per ms on faster
 * targets) + fast run time < slow run time. Slow targets are therefore used as
 * soon as the backlog is long enough, and immediately when no faster slot is in
 * use. A task that only a faster target can complete before its deadline also
 * waits for one.
 */
export class CreditPlacement implements Placement {
  private readonly targets: TargetTable;
  /** Connected targets where this entry could use more slots than it holds: candidates for demand messages. */
  private readonly demandCandidates = new RandomSet<TargetState>();
  private readonly startedThisTurn = new Set<TargetState>();
  /** When the next task was first deferred to wait for a faster slot; unset while none is deferred. */
  private deferredSince: Instant | undefined;
  private nextDemandRoundAt: Instant = -Infinity;

  private readonly limits: DemandLimits;

  constructor(private readonly sources: PlacementSources) {
    this.limits = chooseDemandLimits(sources.objective);
    this.targets = new TargetTable(sources);
  }

  apply(event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    if (event.kind === 'target-connected') {
      const state = this.targets.connect(event.target, event.slots, now);
      state.demandDelayMs = this.limits.minDelayMs;
      this.updateDemandCandidates(state);
      return [];
    }
    const state = this.targets.find(event.target);
    if (state === undefined) return [];
    const actions = this.applyTo(state, event, now);
    this.updateDemandCandidates(state);
    return actions;
  }

  place(tasks: WaitingTasks, now: Instant): PlacementDecision {
    const state = this.targets.peekReady();
    if (state === undefined) return {kind: 'wait', until: Infinity};
    const deferredUntil = this.computeDeferralEnd(state, tasks, now);
    if (deferredUntil > now) return {kind: 'wait', until: deferredUntil};
    this.deferredSince = undefined;
    this.targets.start(state, true);
    this.startedThisTurn.add(state);
    this.updateDemandCandidates(state);
    return {kind: 'start', target: state.target, granted: true};
  }

  settle(waiting: number, now: Instant): readonly PlacementAction[] {
    if (waiting === 0) {
      this.deferredSince = undefined;
      return [];
    }
    if (now < this.nextDemandRoundAt) return [];
    this.nextDemandRoundAt = now + this.limits.roundIntervalMs;
    const chosen = this.pickDemandTargets(waiting, now);
    const share = Math.ceil(waiting / chosen.length);
    return chosen.map(state => {
      this.deferDemand(state, now);
      return {kind: 'demand', target: state.target, waiting: share};
    });
  }

  reportWaiting(waiting: number, now: Instant): number {
    const share = Math.floor(waiting / Math.max(1, this.demandCandidates.size));
    if (share > 0) {
      for (const state of this.startedThisTurn) this.deferDemand(state, now);
    }
    this.startedThisTurn.clear();
    return share;
  }

  /** Delays the next demand message to an agent, with exponential backoff. */
  private deferDemand(state: TargetState, now: Instant): void {
    state.demandDueAt = now + state.demandDelayMs;
    state.demandDelayMs = Math.min(maxDemandDelayMs, 2 * state.demandDelayMs);
  }

  /**
   * Picks the fastest of a few randomly drawn agents that may have idle slots
   * granted to other entries and are faster than any usable slot of this entry.
   * Agents whose backoff has not elapsed are skipped.
   */
  private pickDemandTargets(
    waiting: number,
    now: Instant,
  ): readonly TargetState[] {
    const maxTargets = Math.min(
      maxDemandsPerRound,
      Math.ceil(waiting / this.limits.tasksPerDemand),
    );
    const idleSpeedClass = this.targets.peekReady()?.speedClass ?? Infinity;
    const drawn = new Set<TargetState>();
    for (let i = 0; i < maxDemandDraws; i++) {
      const state = this.demandCandidates.pick(this.sources.random);
      if (state === undefined) break;
      const isUseful =
        state.speedClass < idleSpeedClass && now >= state.demandDueAt;
      if (isUseful) drawn.add(state);
    }
    return [...drawn]
      .sort((one, other) => one.speedClass - other.speedClass)
      .slice(0, maxTargets);
  }

  private applyTo(
    state: TargetState,
    event: KnownTargetEvent,
    now: Instant,
  ): readonly PlacementAction[] {
    if (event.kind === 'slots-granted') {
      if (state.connected) this.acceptSlots(state, event.slots);
      return [];
    }
    if (event.kind === 'task-ended') state.slotsDue++;
    return this.targets.apply(state, event, now);
  }

  /** Adds granted slots. More than the ended tasks freed show that a demand succeeded, so the backoff is reset. */
  private acceptSlots(state: TargetState, slots: number): void {
    if (slots > state.slotsDue) state.demandDelayMs = this.limits.minDelayMs;
    state.slotsDue = Math.max(0, state.slotsDue - slots);
    this.targets.adjustFree(state, slots);
  }

  /** Returns until when the next task should wait for a faster slot; `now` if it should start. */
  private computeDeferralEnd(
    state: TargetState,
    {waiting, deadline}: WaitingTasks,
    now: Instant,
  ): Instant {
    const faster = this.targets.sumFasterLoad(state);
    if (faster.completionsPerMs === 0) return now;
    const nextMs = 1 / faster.completionsPerMs + faster.runMs;
    const lastMs = waiting / faster.completionsPerMs + faster.runMs;
    const savesEnough = lastMs < state.runMs * (1 - minSavedShare);
    const tail = this.sources.runTimes.estimateTailRatio(
      this.sources.service,
      now,
    );
    const slowMissesDeadline = now + state.runMs * tail > deadline;
    const fasterMeetsDeadline = now + nextMs * tail <= deadline;
    if (
      slowMissesDeadline
        ? !fasterMeetsDeadline
        : !savesEnough || now + lastMs > deadline
    )
      return now;
    this.deferredSince ??= now;
    return this.deferredSince + Math.max(nextMs, state.runMs - faster.runMs);
  }

  private updateDemandCandidates(state: TargetState): void {
    const held = state.free + state.inFlight;
    this.demandCandidates.set(
      state,
      state.connected &&
        held < state.slots &&
        state.inFlight < state.maxInFlight,
    );
  }
}

function chooseDemandLimits(objective: Objective): DemandLimits {
  switch (objective.kind) {
    case 'response-time':
      return responseTimeDemandLimits;
    case 'fewest-messages':
      return fewestMessagesDemandLimits;
    default:
      return failUnreachable(objective);
  }
}
