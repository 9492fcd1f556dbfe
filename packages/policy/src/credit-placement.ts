import {failUnreachable, type Instant, type Objective} from '#model';
import {PickList} from './pick-list.js';
import type {
  Placement,
  PlacementAction,
  PlacementEvent,
  PlacementSources,
  PlacementVerdict,
  WaitingTasks,
} from './placement.js';
import {type BookedEvent, type BookedTarget, SlotBook} from './slot-book.js';

/** How eagerly an entry asks for slots that others hold. */
interface DemandPace {
  /** Tasks for whose sake one agent is told. */
  readonly tasksPerDemand: number;
  /** Between two rounds of demands, in ms. */
  readonly roundMs: number;
  /** The same agent is told again after this long at least, in ms. */
  readonly minPauseMs: number;
}

const eagerPace: DemandPace = {tasksPerDemand: 4, roundMs: 5, minPauseMs: 100};
const patientPace: DemandPace = {
  tasksPerDemand: 8,
  roundMs: 20,
  minPauseMs: 200,
};

const maxDemandsPerRound = 4;
const maxDemandDraws = 8;
const maxDemandPauseMs = 800;
/** A faster slot must be expected to save at least this share of the slow run. */
const minSavedShare = 0.1;

/**
 * Starts tasks at once on slots that agents granted ahead, the fastest target
 * first. No message is needed while granted slots last; when they do not, a few
 * agents a round are told how many tasks wait, and move idle grants here.
 *
 * A slow slot is left idle only while the last waiting task is expected to end
 * earlier by waiting its turn for a faster one: waiting / (faster slots that
 * fall free a ms) + fast run < slow run. So slow targets join in exactly when
 * the backlog is long enough, and at once while nothing faster is busy. A task
 * that only a faster target can end in time waits for it as well.
 */
export class CreditPlacement implements Placement {
  private readonly book: SlotBook;
  private readonly open = new PickList<BookedTarget>();
  private readonly startedThisTurn = new Set<BookedTarget>();
  private heldSince: Instant | undefined;
  private demandRoundAt: Instant = -Infinity;

  private readonly pace: DemandPace;

  constructor(private readonly sources: PlacementSources) {
    this.pace = choosePace(sources.objective);
    this.book = new SlotBook(sources);
  }

  apply(event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    if (event.kind === 'target-connected') {
      const opened = this.book.connect(event.target, event.slots, now);
      opened.demandPauseMs = this.pace.minPauseMs;
      this.refresh(opened);
      return [];
    }
    const booked = this.book.find(event.target);
    if (booked === undefined) return [];
    const actions = this.applyTo(booked, event, now);
    this.refresh(booked);
    return actions;
  }

  place(tasks: WaitingTasks, now: Instant): PlacementVerdict {
    const booked = this.book.peekReady();
    if (booked === undefined) return {kind: 'wait', until: Infinity};
    const heldUntil = this.holdUntil(booked, tasks, now);
    if (heldUntil > now) return {kind: 'wait', until: heldUntil};
    this.heldSince = undefined;
    this.book.start(booked, true);
    this.startedThisTurn.add(booked);
    this.refresh(booked);
    return {kind: 'start', target: booked.target, granted: true};
  }

  settle(waiting: number, now: Instant): readonly PlacementAction[] {
    if (waiting === 0) {
      this.heldSince = undefined;
      return [];
    }
    if (now < this.demandRoundAt) return [];
    this.demandRoundAt = now + this.pace.roundMs;
    const told = this.pickTold(waiting, now);
    const share = Math.ceil(waiting / told.length);
    return told.map(booked => {
      this.deferDemand(booked, now);
      return {kind: 'demand', target: booked.target, waiting: share};
    });
  }

  tellWaiting(waiting: number, now: Instant): number {
    const share = Math.floor(waiting / Math.max(1, this.open.size));
    if (share > 0) {
      for (const booked of this.startedThisTurn) this.deferDemand(booked, now);
    }
    this.startedThisTurn.clear();
    return share;
  }

  /** Tells an agent again the later the more often nothing came of it. */
  private deferDemand(booked: BookedTarget, now: Instant): void {
    booked.demandDueAt = now + booked.demandPauseMs;
    booked.demandPauseMs = Math.min(maxDemandPauseMs, 2 * booked.demandPauseMs);
  }

  /**
   * Picks the fastest of a few agents drawn at random that may hold idle slots
   * granted to others and are faster than a slot left idle here. An agent that
   * was told lately and to no avail is passed over until its demand is due.
   */
  private pickTold(waiting: number, now: Instant): readonly BookedTarget[] {
    const wanted = Math.min(
      maxDemandsPerRound,
      Math.ceil(waiting / this.pace.tasksPerDemand),
    );
    const idleClass = this.book.peekReady()?.speedClass ?? Infinity;
    const drawn = new Set<BookedTarget>();
    for (let i = 0; i < maxDemandDraws; i++) {
      const booked = this.open.pick(this.sources.random);
      if (booked === undefined) break;
      const useful = booked.speedClass < idleClass && now >= booked.demandDueAt;
      if (useful) drawn.add(booked);
    }
    return [...drawn]
      .sort((one, other) => one.speedClass - other.speedClass)
      .slice(0, wanted);
  }

  private applyTo(
    booked: BookedTarget,
    event: BookedEvent,
    now: Instant,
  ): readonly PlacementAction[] {
    if (event.kind === 'slots-granted') {
      if (booked.connected) this.acceptSlots(booked, event.slots);
      return [];
    }
    if (event.kind === 'task-ended') booked.slotsDue++;
    return this.book.apply(booked, event, now);
  }

  /** Slots beyond those of ended tasks show that telling the agent was of use. */
  private acceptSlots(booked: BookedTarget, slots: number): void {
    if (slots > booked.slotsDue) booked.demandPauseMs = this.pace.minPauseMs;
    booked.slotsDue = Math.max(0, booked.slotsDue - slots);
    this.book.grant(booked, slots);
  }

  /** Until when the next task should rather wait for a faster slot; `now` when it should not. */
  private holdUntil(
    booked: BookedTarget,
    {waiting, deadline}: WaitingTasks,
    now: Instant,
  ): Instant {
    const faster = this.book.sumFaster(booked);
    if (faster.endsPerMs === 0) return now;
    const nextMs = 1 / faster.endsPerMs + faster.runMs;
    const lastMs = waiting / faster.endsPerMs + faster.runMs;
    const saves = lastMs < booked.runMs * (1 - minSavedShare);
    const tail = this.sources.runTimes.estimateTailRatio(
      this.sources.service,
      now,
    );
    const isTooSlow = now + booked.runMs * tail > deadline;
    const isInTime = now + nextMs * tail <= deadline;
    if (isTooSlow ? !isInTime : !saves || now + lastMs > deadline) return now;
    this.heldSince ??= now;
    return this.heldSince + Math.max(nextMs, booked.runMs - faster.runMs);
  }

  private refresh(booked: BookedTarget): void {
    const held = booked.free + booked.inFlight;
    this.open.set(
      booked,
      booked.connected &&
        held < booked.slots &&
        booked.inFlight < booked.maxInFlight,
    );
  }
}

function choosePace(objective: Objective): DemandPace {
  switch (objective.kind) {
    case 'response-time':
      return eagerPace;
    case 'fewest-messages':
      return patientPace;
    default:
      return failUnreachable(objective);
  }
}
