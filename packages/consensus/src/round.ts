import type {Instant} from '#model';

const minForgottenAtOnce = 256;

/**
 * When a leader began each round of messages. A reply to a round shows that
 * its sender followed this leader at some time after the round began.
 */
export class Rounds {
  private first = 1;
  private starts: Instant[] = [];

  /** Rounds older than the retention may be forgotten. */
  constructor(private readonly retentionMs: number) {}

  /** The latest round; 0 before any. */
  get latest(): number {
    return this.first + this.starts.length - 1;
  }

  /** Returns a round that began at this instant. */
  open(now: Instant): number {
    return this.starts.at(-1) === now ? this.latest : this.begin(now);
  }

  /** Begins a round that no message has carried yet. */
  begin(now: Instant): number {
    this.forgetBefore(now - this.retentionMs);
    this.starts.push(now);
    return this.latest;
  }

  /** Gets when a round began; `-Infinity` for round 0 and for one that was forgotten. */
  getStart(round: number): Instant {
    return this.starts[round - this.first] ?? -Infinity;
  }

  private forgetBefore(instant: Instant): void {
    if (!(this.starts[minForgottenAtOnce - 1] < instant)) return;
    this.starts.splice(0, minForgottenAtOnce);
    this.first += minForgottenAtOnce;
  }
}
