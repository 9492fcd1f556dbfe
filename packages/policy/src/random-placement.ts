import {failUnreachable, type Instant} from '#model';
import {weighSpeed} from './speed.js';
import {PickList} from './pick-list.js';
import type {
  Placement,
  PlacementAction,
  PlacementEvent,
  PlacementSources,
  PlacementVerdict,
} from './placement.js';
import {type BookedTarget, SlotBook} from './slot-book.js';

/** Tasks that one entry sends to a target, for each of its slots. */
const inFlightPerSlot = 2;

/**
 * Sends each task to a target drawn at random, without asking. Agents queue or
 * refuse what they have no slot for. The baseline of the other policies.
 */
export class RandomPlacement implements Placement {
  private readonly book: SlotBook;
  private readonly open = new PickList<BookedTarget>();

  constructor(private readonly sources: PlacementSources) {
    this.book = new SlotBook(sources);
  }

  apply(event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    if (event.kind === 'target-connected') {
      this.refresh(this.book.connect(event.target, event.slots, now));
      return [];
    }
    const booked = this.book.find(event.target);
    if (booked === undefined) return [];
    this.applyTo(booked, event, now);
    this.refresh(booked);
    return [];
  }

  place(): PlacementVerdict {
    const booked = pickBySpeed(this.open, this.sources);
    if (booked === undefined) return {kind: 'wait', until: Infinity};
    this.book.start(booked, false);
    this.refresh(booked);
    return {kind: 'start', target: booked.target, granted: false};
  }

  settle(): readonly PlacementAction[] {
    return [];
  }

  tellWaiting(waiting: number): number {
    return waiting;
  }

  private applyTo(
    booked: BookedTarget,
    event: Exclude<PlacementEvent, {kind: 'target-connected'}>,
    now: Instant,
  ): void {
    switch (event.kind) {
      case 'target-disconnected':
        return this.book.close(booked);
      case 'target-gone':
        return this.book.retire(booked);
      case 'target-allowed':
        return this.book.allow(booked, event.maxInFlight);
      case 'slots-granted':
      case 'slots-recalled':
        return;
      case 'start-unused':
        return this.book.end(booked, false);
      case 'task-ended':
        this.book.end(booked, false);
        return this.book.updateSpeed(booked, now);
      default:
        return failUnreachable(event);
    }
  }

  private refresh(booked: BookedTarget): void {
    const limit = Math.min(booked.maxInFlight, booked.slots * inFlightPerSlot);
    this.open.set(booked, booked.connected && booked.inFlight < limit);
  }
}

const maxDraws = 4;

/** Draws a target; one slower than the service's mean is passed over the more often the slower it is. */
export function pickBySpeed(
  open: PickList<BookedTarget>,
  sources: PlacementSources,
): BookedTarget | undefined {
  let drawn: BookedTarget | undefined;
  for (let i = 0; i < maxDraws; i++) {
    drawn = open.pick(sources.random);
    if (drawn === undefined) return undefined;
    if (sources.random.drawFloat() < weighSpeed(drawn.runMs, sources)) break;
  }
  return drawn;
}
