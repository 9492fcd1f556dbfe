import {BrokenInvariant} from '#model';
import type {ChangeRefusal, LogEntry, Ticket} from '#consensus';
import type {
  ChangeResult,
  NotLeader,
  ProposeResult,
  ReadResult,
} from './host-options.js';
import type {Proposal} from './proposal-queue.js';

type Settle<Outcome> = (outcome: Outcome) => void;

/** A request that the replica has not answered yet. */
type Request<Result> =
  | {readonly kind: 'read'; readonly settle: Settle<ReadResult>}
  | {readonly kind: 'change'; readonly settle: Settle<ChangeResult>}
  | {readonly kind: 'proposals'; readonly batch: readonly Proposal<Result>[]};

/** An entry that is in the leader's log and not committed yet. */
type InFlight<Result> =
  | {
      readonly kind: 'write';
      readonly term: number;
      readonly settle: Settle<ProposeResult<Result>>;
    }
  | {
      readonly kind: 'change';
      readonly term: number;
      readonly settle: Settle<ChangeResult>;
    };

/** The unsettled requests of a replica: by ticket until their entries are in the log, then by log index. */
export class RequestTable<Result> {
  private readonly requests = new Map<Ticket, Request<Result>>();
  private readonly inFlight = new Map<number, InFlight<Result>>();
  private lastTicket = 0;

  addRead(settle: Settle<ReadResult>): Ticket {
    return this.add({kind: 'read', settle});
  }

  addChange(settle: Settle<ChangeResult>): Ticket {
    return this.add({kind: 'change', settle});
  }

  addProposals(batch: readonly Proposal<Result>[]): Ticket {
    return this.add({kind: 'proposals', batch});
  }

  private add(request: Request<Result>): Ticket {
    this.requests.set(++this.lastTicket, request);
    return this.lastTicket;
  }

  private takeRequest(ticket: Ticket): Request<Result> {
    const request = this.requests.get(ticket);
    if (!request) throw new BrokenInvariant(`ticket ${ticket} is unknown`);
    this.requests.delete(ticket);
    return request;
  }

  /** Tracks the entries of a request by log index, now that they are in the log. */
  trackProposed(proposed: {
    readonly ticket: Ticket;
    readonly index: number;
    readonly term: number;
  }): void {
    const {index, term} = proposed;
    const request = this.takeRequest(proposed.ticket);
    if (request.kind === 'change') {
      const {settle} = request;
      this.inFlight.set(index, {kind: 'change', term, settle});
    }
    if (request.kind !== 'proposals') return;
    request.batch.forEach(({settle}, i) =>
      this.inFlight.set(index + i, {kind: 'write', term, settle}),
    );
  }

  refuse(
    refused: {readonly ticket: Ticket; readonly reason: ChangeRefusal},
    notLeader: NotLeader,
  ): void {
    const {reason} = refused;
    const request = this.takeRequest(refused.ticket);
    switch (request.kind) {
      case 'read':
        request.settle(notLeader);
        return;
      case 'proposals':
        for (const {settle} of request.batch) settle(notLeader);
        return;
      case 'change':
        request.settle(
          reason === 'not-leader' ? notLeader : {kind: 'refused', reason},
        );
        return;
    }
  }

  confirmRead(confirmed: {
    readonly ticket: Ticket;
    readonly index: number;
  }): void {
    const request = this.takeRequest(confirmed.ticket);
    if (request.kind !== 'read') return;
    request.settle({kind: 'confirmed', index: confirmed.index});
  }

  /** Settles the request of a committed and applied entry; only commands have a result. */
  commit({index, term}: LogEntry, result: Result | undefined): void {
    const found = this.inFlight.get(index);
    if (!found) return;
    this.inFlight.delete(index);
    if (found.term !== term) found.settle({kind: 'unknown'});
    else if (found.kind === 'change') found.settle({kind: 'committed', index});
    else found.settle({kind: 'committed', index, result: result as Result});
  }

  /** Settles entries in flight with `unknown`: a later leader may still commit them. */
  settleInFlight(): void {
    const unsettled = [...this.inFlight.values()];
    this.inFlight.clear();
    for (const {settle} of unsettled) settle({kind: 'unknown'});
  }

  /** Settles all requests, as the replica has stopped. */
  settleAll(): void {
    this.settleInFlight();
    const tickets = [...this.requests.keys()];
    for (const ticket of tickets) {
      this.refuse({ticket, reason: 'not-leader'}, {kind: 'not-leader'});
    }
  }
}
