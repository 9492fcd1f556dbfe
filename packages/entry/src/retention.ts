import type {JobAnswer, JobId} from '#model';

/**
 * Bounds the bytes of the answers that are kept for resubmissions; the oldest
 * give way first. A job whose answer is forgotten early never starts again: its
 * record at control has no open ticket.
 */
export class Retention {
  private readonly sizes = new Map<JobId, number>();
  private total = 0;

  constructor(
    private readonly maxBytes: number,
    private readonly forget: (job: JobId) => void,
  ) {}

  /** Bytes of the answers kept, as JSON. */
  get bytes(): number {
    return this.total;
  }

  /** Counts an answer, and forgets older ones that no longer fit. */
  keep(job: JobId, answer: JobAnswer): void {
    this.release(job);
    const size = JSON.stringify(answer).length;
    this.sizes.set(job, size);
    this.total += size;
    for (const oldest of this.sizes.keys()) {
      if (this.total <= this.maxBytes || oldest === job) return;
      this.release(oldest);
      this.forget(oldest);
    }
  }

  /** An answer is no longer kept. */
  release(job: JobId): void {
    this.total -= this.sizes.get(job) ?? 0;
    this.sizes.delete(job);
  }
}
