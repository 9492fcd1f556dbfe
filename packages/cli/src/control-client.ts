import {setTimeout as sleep} from 'node:timers/promises';
import {type Either, Left, Right} from 'purify-ts';
import {
  type Address,
  computeRemainingMs,
  failUnreachable,
  type Instant,
  monotonicClock,
} from '#model';
import {
  type ControlReply,
  type ControlStatus,
  dialPeer,
  type NotLeader,
  type ParamsOf,
  type RequestName,
  type ResultOf,
  type RpcFailure,
} from '#protocol';

/** Why a request to another process has no result. */
export type RemoteFailure =
  /** Nothing was done: no process that could do it was reached. */
  | {readonly kind: 'unreachable'; readonly detail: string}
  /** Nothing was done: the process refused. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** The request was sent; whether it was done is not known. */
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Requests that only the leader of the control group answers. */
export type LeaderRequest = {
  [Name in RequestName]: ResultOf<Name> extends ControlReply<unknown>
    ? Name
    : never;
}[RequestName];

export type LeaderValue<Name extends LeaderRequest> = Extract<
  ResultOf<Name>,
  {readonly kind: 'done'}
>['value'];

/** Whether a request may be sent again when its answer was lost. */
export type Resend = 'idempotent' | 'once';

const attemptMs = 3000;
const pauseMs = 100;

/** Sends one request over a connection of its own. */
export async function requestOnce<Name extends RequestName>(
  address: Address,
  method: Name,
  params: ParamsOf<Name>,
  deadline: Instant,
): Promise<Either<RemoteFailure, ResultOf<Name>>> {
  const dialled = await dialPeer(address, {}, deadline);
  return dialled.caseOf<Promise<Either<RemoteFailure, ResultOf<Name>>>>({
    Left: async detail => Left({kind: 'unreachable', detail}),
    Right: async peer => {
      const result = await peer.request(method, params, deadline);
      peer.close('done');
      return result.mapLeft(failure => describeFailure(address, failure));
    },
  });
}

function describeFailure(address: Address, failure: RpcFailure): RemoteFailure {
  switch (failure.kind) {
    case 'rejected':
      return {kind: 'refused', detail: `${address}: ${failure.detail}`};
    case 'timeout':
      return {kind: 'unanswered', detail: `${address}: no answer in time`};
    case 'disconnected':
      return {kind: 'unanswered', detail: `${address}: ${failure.detail}`};
    default:
      return failUnreachable(failure);
  }
}

/** Asks a control group, and remembers which replica answered last, so that a silent one costs time once. */
export class ControlClient {
  private addresses: readonly Address[];

  constructor(addresses: readonly Address[]) {
    this.addresses = addresses;
  }

  /** Asks the leader for what changes nothing. */
  async read<Name extends LeaderRequest>(
    method: Name,
    params: ParamsOf<Name>,
    deadline: Instant,
  ): Promise<Either<RemoteFailure, LeaderValue<Name>>> {
    const reply = await this.change(method, params, deadline, 'idempotent');
    return reply.mapLeft(toUnreachable);
  }

  /**
   * Asks the leader for a change: tries the replicas in turn, follows their word on who leads,
   * and goes on until the deadline. A request that may have been done without an answer is sent
   * again only when it is idempotent.
   */
  async change<Name extends LeaderRequest>(
    method: Name,
    params: ParamsOf<Name>,
    deadline: Instant,
    resend: Resend,
  ): Promise<Either<RemoteFailure, LeaderValue<Name>>> {
    let failure: RemoteFailure = {kind: 'unreachable', detail: 'no time left'};
    let maybeDone = false;
    let hint: Address | undefined;
    while (hasTime(deadline)) {
      const address: Address = hint ?? this.addresses[0]!;
      const outcome: Outcome<Name> = await askReplica(
        address,
        method,
        params,
        deadline,
      );
      if (outcome.kind === 'done') {
        this.prefer(address);
        return Right(outcome.value);
      }
      failure = outcome.failure;
      maybeDone ||= failure.kind === 'unanswered';
      if (failure.kind === 'refused' || (maybeDone && resend === 'once')) break;
      this.defer(address);
      hint = hint === undefined ? outcome.leader : undefined;
      if (hint === undefined) await sleep(pauseMs);
    }
    return Left(maybeDone ? {...failure, kind: 'unanswered'} : failure);
  }

  /** Asks the replicas in turn for a status, which each of them answers. */
  async readStatus(
    deadline: Instant,
  ): Promise<Either<RemoteFailure, ControlStatus>> {
    let failure: RemoteFailure = {kind: 'unreachable', detail: 'no control'};
    for (const address of this.addresses) {
      const reply = await requestOnce(
        address,
        'control.status',
        {},
        limitAttempt(deadline),
      );
      if (reply.isRight()) return reply;
      failure = reply.swap().unsafeCoerce();
      this.defer(address);
    }
    return Left(toUnreachable(failure));
  }

  private prefer(address: Address): void {
    this.addresses = [address, ...this.listOthers(address)];
  }

  private defer(address: Address): void {
    const others = this.listOthers(address);
    if (others.length < this.addresses.length) {
      this.addresses = [...others, address];
    }
  }

  private listOthers(address: Address): readonly Address[] {
    return this.addresses.filter(each => each !== address);
  }
}

/** Of a request that changes nothing it does not matter whether it was done. */
export function toUnreachable({kind, detail}: RemoteFailure): RemoteFailure {
  return {kind: kind === 'unanswered' ? 'unreachable' : kind, detail};
}

/** A silent replica may hold up a request for so long, not until the deadline. */
function limitAttempt(deadline: Instant): Instant {
  return Math.min(deadline, monotonicClock.now() + attemptMs);
}

type Outcome<Name extends LeaderRequest> =
  | {readonly kind: 'done'; readonly value: LeaderValue<Name>}
  | {
      readonly kind: 'failed';
      readonly failure: RemoteFailure;
      /** Who leads, by the word of the replica that was asked. */
      readonly leader?: Address;
    };

async function askReplica<Name extends LeaderRequest>(
  address: Address,
  method: Name,
  params: ParamsOf<Name>,
  deadline: Instant,
): Promise<Outcome<Name>> {
  const reply = await requestOnce(
    address,
    method,
    params,
    limitAttempt(deadline),
  );
  return reply.caseOf<Outcome<Name>>({
    Left: failure => ({kind: 'failed', failure}),
    Right: result => {
      const known = result as ControlReply<LeaderValue<Name>>;
      return known.kind === 'done' ? known : describeRedirect(address, known);
    },
  });
}

function describeRedirect(
  address: Address,
  {leader, maybeApplied}: NotLeader,
): {readonly kind: 'failed'; readonly failure: RemoteFailure} {
  const detail = `${address} does not lead and knows ${leader ?? 'no leader'}`;
  return {
    kind: 'failed',
    failure: {kind: maybeApplied ? 'unanswered' : 'unreachable', detail},
    ...(leader !== undefined && leader !== address && {leader}),
  };
}

function hasTime(deadline: Instant): boolean {
  return computeRemainingMs(monotonicClock.now(), deadline) > 0;
}
