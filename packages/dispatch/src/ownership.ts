import {
  type Address,
  type Instant,
  type JobId,
  monotonicClock,
  type ServiceName,
} from '#model';
import type {Logger} from '#telemetry';
import {type ClaimTable, rankRegistrars} from './claims.js';
import type {PeerDispatchers} from './peer-dispatchers.js';

export interface OwnershipOptions {
  /** Where this dispatcher listens; undefined when it is the only one. */
  readonly address: Address | undefined;
  readonly claims: ClaimTable;
  readonly peerDispatchers: PeerDispatchers;
  readonly log: Logger;
  /** Returns the addresses of all dispatchers of a service, including this one. */
  readonly listDispatchers: (service: ServiceName) => readonly Address[];
  /** Ends other dispatchers' runs of a job at all targets; false when a target does not confirm. */
  readonly clear: (job: JobId, deadline: Instant) => Promise<boolean>;
}

/** A job that a dispatcher wants to run, and the service whose targets would run it. */
export interface ClaimedJob {
  readonly job: JobId;
  readonly service: ServiceName;
}

export type OwnershipStatus =
  /** This dispatcher may run the job; `isFirst` is false when another one owned it before. */
  | {readonly kind: 'own'; readonly isFirst: boolean}
  /** The job has ended at another dispatcher. */
  | {readonly kind: 'completed'}
  | {readonly kind: 'failed'}
  /** Its caller has cancelled the job. */
  | {readonly kind: 'cancelled'}
  /** Runs of the job may exist that cannot be stopped. */
  | {readonly kind: 'uncertain'};

/** A registrar that does not respond within this is skipped. */
const claimTimeoutMs = 120;
const clearTimeoutMs = 700;
/** After this many attempts, each of which replaces the owner found by the one before, ownership is left uncertain. */
const maxClaimAttempts = 3;
/** Registrars that store a claim: one may be lost, as may the owner, which usually is the first registrar. */
const registrarsPerJob = 2;

/**
 * Ensures that one dispatcher at a time runs a job, even when its caller submits it to several. The
 * job's registrars know its owner. If there is another owner, it is asked to report the job's outcome or
 * close it; if it is unreachable or does not know the job, the job's runs are cleared at the targets.
 */
export async function resolveOwnership(
  options: OwnershipOptions,
  {job, service}: ClaimedJob,
  deadline: Instant,
): Promise<OwnershipStatus> {
  const {address, peerDispatchers, log} = options;
  if (address === undefined) return {kind: 'own', isFirst: true};
  let replaces: Address | undefined;
  for (let attempt = 0; attempt < maxClaimAttempts; attempt++) {
    const owner = await findOwner(options, {job, service}, replaces);
    if (owner === address) {
      return {kind: 'own', isFirst: replaces === undefined};
    }
    const status = await peerDispatchers.awaitOutcome(owner, job, deadline);
    log.info(
      {event: 'job-elsewhere', job, owner, standing: status?.kind ?? 'none'},
      'a job was previously submitted to another dispatcher',
    );
    switch (status?.kind) {
      case 'completed':
      case 'failed':
      case 'cancelled':
        return status;
      case 'closed':
        break;
      case 'unknown':
      case undefined:
        if (!(await clearOthers(options, job, deadline))) {
          return {kind: 'uncertain'};
        }
    }
    replaces = owner;
  }
  return {kind: 'uncertain'};
}

/** Ends other dispatchers' runs of a job at all targets; false when a target does not confirm in time. */
export function clearOthers(
  {clear}: OwnershipOptions,
  job: JobId,
  deadline: Instant,
): Promise<boolean> {
  const limit = Math.min(deadline, monotonicClock.now() + clearTimeoutMs);
  return clear(job, limit);
}

/** Claims a job at its first reachable registrars, one after another. Returns the other owner that a registrar knows, or this dispatcher if none does. */
export async function findOwner(
  {address, claims, peerDispatchers, listDispatchers}: OwnershipOptions,
  {job, service}: ClaimedJob,
  replaces: Address | undefined,
): Promise<Address> {
  const claimant = address!;
  const replaced = replaces === undefined ? {} : {replaces};
  let confirmations = 0;
  for (const registrar of rankRegistrars(job, listDispatchers(service))) {
    const owner =
      registrar === claimant
        ? claims.record(job, claimant, replaces)
        : await peerDispatchers.sendClaim(
            registrar,
            {job, claimant, service, ...replaced},
            monotonicClock.now() + claimTimeoutMs,
          );
    if (owner === undefined) continue;
    if (owner !== claimant) return owner;
    if (++confirmations === registrarsPerJob) return claimant;
  }
  return claims.record(job, claimant, replaces);
}
