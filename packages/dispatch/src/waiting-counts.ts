import type {Address, Instant} from '#model';

/** Older reports are ignored. */
const maxCountAgeMs = 2000;

interface ReportedCount {
  readonly count: number;
  readonly reportedAt: Instant;
}

/** The number of waiting jobs per queue and dispatcher, by recent reports. */
export class WaitingJobCounts {
  private readonly countsByQueue = new Map<
    string,
    Map<Address, ReportedCount>
  >();

  record(
    queue: string,
    home: Address,
    count: number,
    reportedAt: Instant,
  ): void {
    const countsByHome =
      this.countsByQueue.get(queue) ?? new Map<Address, ReportedCount>();
    countsByHome.set(home, {count, reportedAt});
    this.countsByQueue.set(queue, countsByHome);
  }

  /** Sums the recent reports of all dispatchers for a queue. */
  sum(queue: string, now: Instant): number {
    let sum = 0;
    for (const {count, reportedAt} of this.countsByQueue.get(queue)?.values() ??
      []) {
      if (reportedAt + maxCountAgeMs >= now) sum += count;
    }
    return sum;
  }
}
