import type {JobId} from '#model';

const ticketLimit = 2 ** 32;

/**
 * Tickets of this epoch's admission requests whose result was not seen. A record
 * with one of these tickets belongs to a job that has not started here.
 */
export class OpenTickets {
  private readonly open = new Map<JobId, Set<number>>();
  private next = 0;

  /** Issues a ticket for a new admission request of a job. */
  issue(job: JobId): number {
    const ticket = this.next;
    this.next = (this.next + 1) % ticketLimit;
    const tickets = this.open.get(job) ?? new Set();
    this.open.set(job, tickets.add(ticket));
    return ticket;
  }

  /** True while the job may be started with this ticket. */
  has(job: JobId, ticket: number): boolean {
    return this.open.get(job)?.has(ticket) === true;
  }

  /** Invalidates the tickets of a job that starts now or belongs to another epoch. */
  retire(job: JobId): void {
    this.open.delete(job);
  }

  /** Invalidates all tickets when the epoch ends. */
  clear(): void {
    this.open.clear();
  }
}
