import {setTimeout as sleep} from 'node:timers/promises';
import {type Either, Left, Right} from 'purify-ts';
import {
  type Address,
  computeRemainingMs,
  type Instant,
  monotonicClock,
} from '#model';
import {
  type ControlReply,
  dialPeer,
  type NotLeader,
  type ParamsOf,
  type RequestName,
  type ResultOf,
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
      return result.mapLeft(failure => {
        switch (failure.kind) {
          case 'rejected':
            return {
              kind: 'refused',
              detail: `${address}: ${failure.detail}`,
            };
          case 'timeout':
            return {
              kind: 'unanswered',
              detail: `${address}: no answer in time`,
            };
          case 'disconnected':
            return {
              kind: 'unanswered',
              detail: `${address}: ${failure.detail}`,
            };
        }
      });
    },
  });
}

/**
 * Asks the leader of the control group: tries the replicas in turn, follows their word on who
 * leads, and goes on until the deadline. A request whose answer was lost is sent again only
 * when it is idempotent.
 */
export async function requestLeader<Name extends LeaderRequest>(
  addresses: readonly Address[],
  method: Name,
  params: ParamsOf<Name>,
  deadline: Instant,
  resend: Resend,
): Promise<Either<RemoteFailure, LeaderValue<Name>>> {
  let failure: RemoteFailure = {kind: 'unreachable', detail: 'no time left'};
  let wasSent = false;
  let hint: Address | undefined;
  for (let turn = 0; hasTime(deadline);) {
    const address: Address = hint ?? addresses[turn++ % addresses.length]!;
    const followed = hint !== undefined;
    hint = undefined;
    const reply: Either<RemoteFailure, ResultOf<Name>> = await requestOnce(
      address,
      method,
      params,
      Math.min(deadline, monotonicClock.now() + attemptMs),
    );
    const outcome = readReply<Name>(address, reply);
    if (outcome.kind === 'done') return Right(outcome.value);
    if (outcome.kind === 'redirected') {
      failure = {
        kind: 'unreachable',
        detail: `${address} does not lead and knows ${outcome.leader ?? 'no leader'}`,
      };
      if (!followed) hint = outcome.leader;
    } else {
      failure = outcome.failure;
      wasSent ||= failure.kind === 'unanswered';
      if (failure.kind === 'refused') break;
      if (wasSent && resend === 'once') break;
    }
    if (hint === undefined) await sleep(pauseMs);
  }
  return Left(wasSent ? {...failure, kind: 'unanswered'} : failure);
}

type Outcome<Name extends LeaderRequest> =
  | {readonly kind: 'done'; readonly value: LeaderValue<Name>}
  | {readonly kind: 'redirected'; readonly leader?: Address}
  | {readonly kind: 'failed'; readonly failure: RemoteFailure};

function readReply<Name extends LeaderRequest>(
  address: Address,
  reply: Either<RemoteFailure, ResultOf<Name>>,
): Outcome<Name> {
  return reply.caseOf<Outcome<Name>>({
    Left: failure => ({kind: 'failed', failure}),
    Right: result => {
      const known = result as ControlReply<LeaderValue<Name>> | undefined;
      if (known?.kind === 'done') return {kind: 'done', value: known.value};
      const {leader} = (known ?? {}) as Partial<NotLeader>;
      return {
        kind: 'redirected',
        ...(leader !== undefined && leader !== address && {leader}),
      };
    },
  });
}

function hasTime(deadline: Instant): boolean {
  return computeRemainingMs(monotonicClock.now(), deadline) > 0;
}
