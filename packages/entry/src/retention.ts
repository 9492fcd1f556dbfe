import type {JobAnswer, JobId} from '#model';

/**
 * Bounds the size of the answers retained for resubmissions by evicting the
 * oldest first. A job whose answer was evicted early cannot start again, because
 * its record at control has no open ticket.
 */
export class AnswerRetention {
  private readonly sizes = new Map<JobId, number>();
  private total = 0;

  constructor(
    private readonly maxBytes: number,
    private readonly onEvicted: (job: JobId) => void,
  ) {}

  /** Total size of the retained answers, as JSON. */
  get bytes(): number {
    return this.total;
  }

  /** Adds an answer and evicts older ones that no longer fit. */
  keep(job: JobId, answer: JobAnswer): void {
    this.release(job);
    const size = JSON.stringify(answer).length;
    this.sizes.set(job, size);
    this.total += size;
    for (const oldest of this.sizes.keys()) {
      if (this.total <= this.maxBytes || oldest === job) return;
      this.release(oldest);
      this.onEvicted(oldest);
    }
  }

  /** Removes an answer from the total. */
  release(job: JobId): void {
    this.total -= this.sizes.get(job) ?? 0;
    this.sizes.delete(job);
  }
}
