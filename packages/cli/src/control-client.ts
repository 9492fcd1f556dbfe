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

/** Why a request to another process failed. */
export type RemoteFailure =
  /** Nothing was done: no process able to handle the request was reached. */
  | {readonly kind: 'unreachable'; readonly detail: string}
  /** Nothing was done: the process refused the request. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** The request was sent and got no answer; it may or may not have taken effect. */
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Requests that only the leader of the control group handles. */
export type LeaderRequest = {
  [Name in RequestName]: ResultOf<Name> extends ControlReply<unknown>
    ? Name
    : never;
}[RequestName];

export type LeaderValue<Name extends LeaderRequest> = Extract<
  ResultOf<Name>,
  {readonly kind: 'done'}
>['value'];

/** Whether a request may be resent after its answer was lost. */
export type RetryMode = 'idempotent' | 'once';

const attemptTimeoutMs = 3000;
const retryDelayMs = 100;

/** Sends one request over a new connection. */
export async function requestOnce<Name extends RequestName>(
  address: Address,
  method: Name,
  params: ParamsOf<Name>,
  deadline: Instant,
): Promise<Either<RemoteFailure, ResultOf<Name>>> {
  const connection = await dialPeer(address, {}, deadline);
  return connection.caseOf<Promise<Either<RemoteFailure, ResultOf<Name>>>>({
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

/** Client of a control group. It tries the replica with the most recent answer first, so that an unresponsive one delays only one request. */
export class ControlClient {
  private addresses: readonly Address[];

  constructor(addresses: readonly Address[]) {
    this.addresses = addresses;
  }

  /** Sends a read-only request to the leader. */
  async read<Name extends LeaderRequest>(
    method: Name,
    params: ParamsOf<Name>,
    deadline: Instant,
  ): Promise<Either<RemoteFailure, LeaderValue<Name>>> {
    const reply = await this.change(method, params, deadline, 'idempotent');
    return reply.mapLeft(toUnreachable);
  }

  /**
   * Sends a change to the leader: tries the replicas in turn, follows their leader hints and
   * retries until the deadline. A request that may have been applied is resent only when it is
   * idempotent.
   */
  async change<Name extends LeaderRequest>(
    method: Name,
    params: ParamsOf<Name>,
    deadline: Instant,
    retryMode: RetryMode,
  ): Promise<Either<RemoteFailure, LeaderValue<Name>>> {
    let failure: RemoteFailure = {kind: 'unreachable', detail: 'no time left'};
    let maybeApplied = false;
    let leaderHint: Address | undefined;
    while (hasTime(deadline)) {
      const address: Address = leaderHint ?? this.addresses[0]!;
      const outcome: AttemptOutcome<Name> = await sendToReplica(
        address,
        method,
        params,
        deadline,
      );
      if (outcome.kind === 'done') {
        this.moveToFront(address);
        return Right(outcome.value);
      }
      failure = outcome.failure;
      maybeApplied ||= failure.kind === 'unanswered';
      if (failure.kind === 'refused' || (maybeApplied && retryMode === 'once'))
        break;
      this.moveToBack(address);
      leaderHint = leaderHint === undefined ? outcome.leader : undefined;
      if (leaderHint === undefined) await sleep(retryDelayMs);
    }
    return Left(maybeApplied ? {...failure, kind: 'unanswered'} : failure);
  }

  /**
   * Reads the status from the first replica that responds and has caught up; it need not be the
   * leader. The status of one that has not is returned when no other responds.
   */
  async readStatus(
    deadline: Instant,
  ): Promise<Either<RemoteFailure, ControlStatus>> {
    let failure: RemoteFailure = {kind: 'unreachable', detail: 'no control'};
    let old: ControlStatus | undefined;
    for (const address of this.addresses) {
      const reply = await requestOnce(
        address,
        'control.status',
        {},
        computeAttemptDeadline(deadline),
      );
      const status = reply.toMaybe().extract();
      if (status !== undefined && !status.catchingUp) return Right(status);
      old ??= status;
      failure = reply.swap().toMaybe().orDefault(failure);
      this.moveToBack(address);
    }
    return old === undefined ? Left(toUnreachable(failure)) : Right(old);
  }

  private moveToFront(address: Address): void {
    this.addresses = [address, ...this.listOthers(address)];
  }

  private moveToBack(address: Address): void {
    const others = this.listOthers(address);
    if (others.length < this.addresses.length) {
      this.addresses = [...others, address];
    }
  }

  private listOthers(address: Address): readonly Address[] {
    return this.addresses.filter(each => each !== address);
  }
}

/** For a read-only request `unanswered` is the same as `unreachable`: it changes nothing. */
export function toUnreachable({kind, detail}: RemoteFailure): RemoteFailure {
  return {kind: kind === 'unanswered' ? 'unreachable' : kind, detail};
}

/** Limits the time that an unresponsive replica can take of a request. */
function computeAttemptDeadline(deadline: Instant): Instant {
  return Math.min(deadline, monotonicClock.now() + attemptTimeoutMs);
}

type AttemptOutcome<Name extends LeaderRequest> =
  | {readonly kind: 'done'; readonly value: LeaderValue<Name>}
  | {
      readonly kind: 'failed';
      readonly failure: RemoteFailure;
      /** The leader hint of the replica. */
      readonly leader?: Address;
    };

async function sendToReplica<Name extends LeaderRequest>(
  address: Address,
  method: Name,
  params: ParamsOf<Name>,
  deadline: Instant,
): Promise<AttemptOutcome<Name>> {
  const reply = await requestOnce(
    address,
    method,
    params,
    computeAttemptDeadline(deadline),
  );
  return reply.caseOf<AttemptOutcome<Name>>({
    Left: failure => ({kind: 'failed', failure}),
    Right: result => {
      const controlReply = result as ControlReply<LeaderValue<Name>>;
      return controlReply.kind === 'done'
        ? controlReply
        : describeRedirect(address, controlReply);
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
