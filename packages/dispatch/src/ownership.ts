import {
  type Address,
  type Instant,
  type JobId,
  monotonicClock,
  type ServiceName,
} from '#model';
import type {Logger} from '#telemetry';
import {type ClaimTable, rankRegistrars} from './claims.js';
import type {Fellows} from './fellows.js';

export interface OwnershipOptions {
  /** Where this dispatcher listens; undefined for one without others. */
  readonly address: Address | undefined;
  readonly claims: ClaimTable;
  readonly fellows: Fellows;
  readonly log: Logger;
  /** Where all dispatchers of a service listen, this one included. */
  readonly listDispatchers: (service: ServiceName) => readonly Address[];
  /** Ends what others run of a job wherever a target can be reached; false when one cannot. */
  readonly clear: (job: JobId, deadline: Instant) => Promise<boolean>;
}

/** A job that a dispatcher wants to run, and whose targets are to run it. */
export interface ClaimedJob {
  readonly job: JobId;
  readonly service: ServiceName;
}

export type Standing =
  /** This dispatcher may run the job; `isFirst` unless another one had it before. */
  | {readonly kind: 'own'; readonly isFirst: boolean}
  /** It has ended elsewhere. */
  | {readonly kind: 'completed'}
  | {readonly kind: 'failed'}
  /** Something of it may run where it cannot be stopped. */
  | {readonly kind: 'uncertain'};

/** A registrar that does not answer within this is passed over, in ms. */
const claimTimeoutMs = 120;
const clearTimeoutMs = 700;
/** Owners that a claim may pass through before it is given up. */
const maxOwners = 3;
/** Registrars that keep a claim: one of them may be lost, as may be the owner, which is its first registrar as a rule. */
const registrarsPerJob = 2;

/**
 * Makes sure that one dispatcher at a time runs a job, also when its caller submits it to another
 * one: the job's registrars know the owner, the owner is asked, and where it cannot be, the targets are.
 */
export async function settleOwnership(
  options: OwnershipOptions,
  {job, service}: ClaimedJob,
  deadline: Instant,
): Promise<Standing> {
  const {address, fellows, log} = options;
  if (address === undefined) return {kind: 'own', isFirst: true};
  let replaces: Address | undefined;
  for (let turn = 0; turn < maxOwners; turn++) {
    const owner = await findOwner(options, {job, service}, replaces);
    if (owner === address) {
      return {kind: 'own', isFirst: replaces === undefined};
    }
    const standing = await fellows.follow(owner, job, deadline);
    log.info(
      {event: 'job-elsewhere', job, owner, standing: standing?.kind ?? 'none'},
      'a job was submitted to another dispatcher before',
    );
    switch (standing?.kind) {
      case 'completed':
      case 'failed':
        return standing;
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

function clearOthers(
  {clear}: OwnershipOptions,
  job: JobId,
  deadline: Instant,
): Promise<boolean> {
  const limit = Math.min(deadline, monotonicClock.now() + clearTimeoutMs);
  return clear(job, limit);
}

/** Claims a job at its first registrars that can be reached, one after the other; returns the owner that one of them knows. */
async function findOwner(
  {address, claims, fellows, listDispatchers}: OwnershipOptions,
  {job, service}: ClaimedJob,
  replaces: Address | undefined,
): Promise<Address> {
  const claimant = address!;
  const replaced = replaces === undefined ? {} : {replaces};
  let agreed = 0;
  for (const registrar of rankRegistrars(job, listDispatchers(service))) {
    const owner =
      registrar === claimant
        ? claims.note(job, claimant, replaces)
        : await fellows.askOwner(
            registrar,
            {job, claimant, service, ...replaced},
            monotonicClock.now() + claimTimeoutMs,
          );
    if (owner === undefined) continue;
    if (owner !== claimant) return owner;
    if (++agreed === registrarsPerJob) return claimant;
  }
  return claims.note(job, claimant, replaces);
}
