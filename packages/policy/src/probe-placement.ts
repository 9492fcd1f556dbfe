import type {Instant} from '#model';
import {PickList} from './pick-list.js';
import type {
  Placement,
  PlacementAction,
  PlacementEvent,
  PlacementSources,
  PlacementVerdict,
  WaitingTasks,
} from './placement.js';
import {pickBySpeed} from './random-placement.js';
import {type BookedEvent, type BookedTarget, SlotBook} from './slot-book.js';

/** Waiting tasks without a start for this long are probed for anew, in ms. */
const reprobeIntervalMs = 50;

/**
 * Power of d choices with late binding: each waiting task reserves a slot at d
 * targets, and the first slot granted goes to whichever task is next then.
 */
export class ProbePlacement implements Placement {
  private readonly book: SlotBook;
  private readonly open = new PickList<BookedTarget>();
  private readonly holding = new Set<BookedTarget>();
  private extraProbes = 0;
  private reprobeAt: Instant = -Infinity;

  constructor(
    private readonly probesPerTask: number,
    private readonly sources: PlacementSources,
  ) {
    this.book = new SlotBook(sources);
  }

  apply(event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    if (event.kind === 'target-connected') {
      this.refresh(this.book.connect(event.target, event.slots, now));
      return [];
    }
    const booked = this.book.find(event.target);
    if (booked === undefined) return [];
    const actions = this.applyTo(booked, event, now);
    this.refresh(booked);
    return actions;
  }

  place(_tasks: WaitingTasks, now: Instant): PlacementVerdict {
    const booked = this.book.peekReady();
    if (booked === undefined) {
      return {kind: 'wait', until: Math.max(this.reprobeAt, now)};
    }
    this.book.start(booked, true);
    this.refresh(booked);
    this.extraProbes = 0;
    this.reprobeAt = now + reprobeIntervalMs;
    return {kind: 'start', target: booked.target, granted: true};
  }

  settle(waiting: number, now: Instant): readonly PlacementAction[] {
    if (waiting === 0) {
      this.extraProbes = 0;
      return this.releaseUnused(0);
    }
    if (now >= this.reprobeAt) {
      if (this.book.reserved > 0) this.extraProbes += this.probesPerTask;
      this.reprobeAt = now + reprobeIntervalMs;
    }
    const wanted = waiting * this.probesPerTask + this.extraProbes;
    if (this.book.reserved > wanted) return this.releaseUnused(wanted);
    return this.reserve(wanted - this.book.reserved);
  }

  tellWaiting(waiting: number): number {
    return waiting;
  }

  private applyTo(
    booked: BookedTarget,
    event: BookedEvent,
    now: Instant,
  ): readonly PlacementAction[] {
    if (event.kind === 'slots-granted') {
      this.acceptSlots(booked, event.slots);
      return [];
    }
    const actions = this.book.apply(booked, event, now);
    const isBarred = event.kind === 'target-allowed' && event.maxInFlight === 0;
    return isBarred ? this.release(booked) : actions;
  }

  /**
   * A grant beyond what is reserved crossed a withdrawal: the agent takes that
   * withdrawal for the return of this very slot, which so must not be used.
   */
  private acceptSlots(booked: BookedTarget, slots: number): void {
    const accepted = Math.min(slots, booked.reserved);
    this.book.reserve(booked, -accepted);
    this.book.grant(booked, accepted);
  }

  private reserve(slots: number): readonly PlacementAction[] {
    const asked = new Map<BookedTarget, number>();
    for (let i = 0; i < slots; i++) {
      const booked = pickBySpeed(this.open, this.sources);
      if (booked === undefined) break;
      this.book.reserve(booked, 1);
      asked.set(booked, (asked.get(booked) ?? 0) + 1);
      this.refresh(booked);
    }
    return [...asked].map(([{target}, count]) => ({
      kind: 'reserve',
      target,
      slots: count,
    }));
  }

  /** Gives back idle slots and withdraws reservations beyond those wanted. */
  private releaseUnused(wanted: number): readonly PlacementAction[] {
    const actions: PlacementAction[] = [];
    for (const booked of [...this.holding]) {
      const excess = Math.max(0, this.book.reserved - wanted);
      const idle = wanted === 0 ? booked.free : 0;
      const withdrawn = Math.min(excess, booked.reserved);
      if (idle + withdrawn === 0) continue;
      this.book.reserve(booked, -withdrawn);
      this.book.grant(booked, -idle);
      this.refresh(booked);
      const slots = idle + withdrawn;
      actions.push({kind: 'release', target: booked.target, slots});
    }
    return actions;
  }

  private release(booked: BookedTarget): readonly PlacementAction[] {
    const slots = booked.free + booked.reserved;
    if (slots === 0) return [];
    this.book.reserve(booked, -booked.reserved);
    this.book.grant(booked, -booked.free);
    return [{kind: 'release', target: booked.target, slots}];
  }

  private refresh(booked: BookedTarget): void {
    const asked = booked.reserved + booked.free;
    const mayAsk =
      booked.connected &&
      asked < booked.slots &&
      asked + booked.inFlight < booked.maxInFlight;
    this.open.set(booked, mayAsk);
    if (asked > 0) this.holding.add(booked);
    else this.holding.delete(booked);
  }
}
