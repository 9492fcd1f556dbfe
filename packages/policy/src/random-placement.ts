import type {Instant} from '#model';
import {computeDrawWeight} from './speed.js';
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
    if (!isSlotEvent(event)) this.book.apply(booked, event, now);
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

  private refresh(booked: BookedTarget): void {
    const limit = Math.min(booked.maxInFlight, booked.slots * inFlightPerSlot);
    this.open.set(booked, booked.connected && booked.inFlight < limit);
  }
}

/** Slots mean nothing to a policy that asks for none. */
function isSlotEvent({kind}: PlacementEvent): boolean {
  return kind === 'slots-granted' || kind === 'slots-recalled';
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
    if (sources.random.drawFloat() < computeDrawWeight(drawn.runMs, sources))
      break;
  }
  return drawn;
}
