import {BrokenInvariant} from '#model';
import type {ChangeRefusal, LogEntry, Ticket} from '#consensus';
import type {
  ChangeResult,
  NotLeader,
  ProposeResult,
  ReadResult,
} from './hosting.js';
import type {Proposal} from './proposal.js';

type Settle<Outcome> = (outcome: Outcome) => void;

/** What was asked of the replica and not answered yet. */
type Request<Result> =
  | {readonly kind: 'read'; readonly settle: Settle<ReadResult>}
  | {readonly kind: 'change'; readonly settle: Settle<ChangeResult>}
  | {readonly kind: 'proposals'; readonly batch: readonly Proposal<Result>[]};

/** What is in the leader's log and not committed yet. */
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

/** The callers that wait for a replica, by ticket and then by log index. */
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

  private take(ticket: Ticket): Request<Result> {
    const request = this.requests.get(ticket);
    if (!request) throw new BrokenInvariant(`ticket ${ticket} is unknown`);
    this.requests.delete(ticket);
    return request;
  }

  /** A request's entries are in the log from an index on. */
  trackProposed(place: {
    readonly ticket: Ticket;
    readonly index: number;
    readonly term: number;
  }): void {
    const {index, term} = place;
    const request = this.take(place.ticket);
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
    const request = this.take(refused.ticket);
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
    const request = this.take(confirmed.ticket);
    if (request.kind !== 'read') return;
    request.settle({kind: 'confirmed', index: confirmed.index});
  }

  /** An entry is committed and applied, with a result where it is a command. */
  commit({index, term}: LogEntry, result: Result | undefined): void {
    const found = this.inFlight.get(index);
    if (!found) return;
    this.inFlight.delete(index);
    if (found.term !== term) found.settle({kind: 'unknown'});
    else if (found.kind === 'change') found.settle({kind: 'committed', index});
    else found.settle({kind: 'committed', index, result: result as Result});
  }

  /** What is in flight may still be committed by a later leader, or not. */
  loseLeadership(): void {
    const lost = [...this.inFlight.values()];
    this.inFlight.clear();
    for (const {settle} of lost) settle({kind: 'unknown'});
  }

  /** Ends all requests: nothing more is heard of the replica. */
  endAll(): void {
    this.loseLeadership();
    const tickets = [...this.requests.keys()];
    for (const ticket of tickets) {
      this.refuse({ticket, reason: 'not-leader'}, {kind: 'not-leader'});
    }
  }
}
