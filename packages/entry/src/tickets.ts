import type {JobId} from '#model';

const ticketLimit = 2 ** 32;

/**
 * The requests for admission of this epoch whose answer was not seen. A record
 * made by one of them belongs to a job that has not started here.
 */
export class Tickets {
  private readonly open = new Map<JobId, Set<number>>();
  private next = 0;

  /** Numbers a new request for a job. */
  issue(job: JobId): number {
    const ticket = this.next;
    this.next = (this.next + 1) % ticketLimit;
    const tickets = this.open.get(job) ?? new Set();
    this.open.set(job, tickets.add(ticket));
    return ticket;
  }

  /** True while the job may start by this ticket. */
  has(job: JobId, ticket: number): boolean {
    return this.open.get(job)?.has(ticket) === true;
  }

  /** From here on no ticket starts the job: it starts now, or it is another epoch's. */
  retire(job: JobId): void {
    this.open.delete(job);
  }

  /** The epoch is over. */
  clear(): void {
    this.open.clear();
  }
}
