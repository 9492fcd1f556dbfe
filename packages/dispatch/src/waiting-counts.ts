import type {Address, Instant} from '#model';

/** What a dispatcher told of its waiting jobs counts for this long, in ms. */
const waitingLifeMs = 2000;

interface ToldCount {
  readonly count: number;
  readonly toldAt: Instant;
}

/** How many jobs of each queue wait at each dispatcher, as it told lately. */
export class WaitingCounts {
  private readonly told = new Map<string, Map<Address, ToldCount>>();

  /** Notes what a dispatcher told. */
  note(queue: string, home: Address, count: number, toldAt: Instant): void {
    const homes = this.told.get(queue) ?? new Map<Address, ToldCount>();
    homes.set(home, {count, toldAt});
    this.told.set(queue, homes);
  }

  /** Sums up what was told lately. */
  sum(queue: string, now: Instant): number {
    let sum = 0;
    for (const {count, toldAt} of this.told.get(queue)?.values() ?? []) {
      if (toldAt + waitingLifeMs >= now) sum += count;
    }
    return sum;
  }
}
