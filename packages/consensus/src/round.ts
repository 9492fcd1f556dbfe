import type {Instant} from '#model';

/** Old rounds are pruned in batches of this size. */
const minPrunedRounds = 256;

/**
 * Start times of a leader's message rounds. A reply to a round proves that its
 * sender recognized this leader at some time after the start of the round.
 */
export class Rounds {
  private first = 1;
  private startTimes: Instant[] = [];

  /** Rounds older than `retentionMs` may be pruned. */
  constructor(private readonly retentionMs: number) {}

  /** The latest round; 0 if there is none. */
  get latest(): number {
    return this.first + this.startTimes.length - 1;
  }

  /** Returns the round that began at this instant; begins one if there is none. */
  ensure(now: Instant): number {
    return this.startTimes.at(-1) === now ? this.latest : this.begin(now);
  }

  /** Begins a new round, which no message has carried yet. */
  begin(now: Instant): number {
    this.pruneBefore(now - this.retentionMs);
    this.startTimes.push(now);
    return this.latest;
  }

  /** Gets the start of a round; `-Infinity` for round 0 and for pruned rounds. */
  getStartTime(round: number): Instant {
    return this.startTimes[round - this.first] ?? -Infinity;
  }

  private pruneBefore(instant: Instant): void {
    if (!(this.startTimes[minPrunedRounds - 1] < instant)) return;
    this.startTimes.splice(0, minPrunedRounds);
    this.first += minPrunedRounds;
  }
}
