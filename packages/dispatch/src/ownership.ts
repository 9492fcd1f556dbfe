import {
  type Address,
  type Instant,
  type JobId,
  monotonicClock,
  type ServiceName,
} from '#model';
import type {Logger} from '#telemetry';
import type {Claim, ClaimAnswer} from './claim-messages.js';
import {
  type ClaimTable,
  isSameOwner,
  type JobOwner,
  rankRegistrars,
} from './claims.js';
import {runLossMs} from './link.js';
import type {PeerDispatchers} from './peer-dispatchers.js';
import {sleepUntil} from './wait.js';

export interface OwnershipOptions {
  /** This process as an owner; undefined when it is the only dispatcher. */
  readonly self: JobOwner | undefined;
  readonly claims: ClaimTable;
  readonly peerDispatchers: PeerDispatchers;
  readonly log: Logger;
  /** Returns the addresses of all dispatchers of a service, including this one. */
  readonly listDispatchers: (service: ServiceName) => readonly Address[];
  /** Ends other dispatcher processes' runs of a job at all targets; false when a target does not confirm. */
  readonly clear: (job: JobId, deadline: Instant) => Promise<boolean>;
  /** Called when one of a job's first registrars did not answer a claim. */
  readonly onMissed: (registrar: Address) => void;
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
export const claimTimeoutMs = 120;
const clearTimeoutMs = 700;
/** Pause between attempts to clear the runs of an earlier process, in ms: a connection may be opened meanwhile. */
const clearRetryMs = 100;
/** After this many attempts, each of which replaces the owner found by the one before, ownership is left uncertain. */
const maxClaimAttempts = 3;
/** Registrars that store a claim: one may be lost, as may the owner, which usually is the first registrar. */
export const registrarsPerJob = 2;
/** Callers may send a job again for this long, in ms. */
const maxJobAgeMs = 15_000;

/**
 * Ensures that one dispatcher process at a time runs a job, even when its caller submits it to several. The
 * job's registrars know its owner. If there is another owner, it is asked to report the job's outcome or
 * close it; if it is unreachable or does not know the job, the job's runs are cleared at the targets. An earlier
 * process at this address is an owner that has ended: its runs may still be at work.
 */
export async function resolveOwnership(
  options: OwnershipOptions,
  claimed: ClaimedJob,
  deadline: Instant,
): Promise<OwnershipStatus> {
  const {self} = options;
  if (self === undefined) return {kind: 'own', isFirst: true};
  let replaces: JobOwner | undefined;
  for (let attempt = 0; attempt < maxClaimAttempts; attempt++) {
    const owner = await findOwner(options, claimed, replaces);
    if (isSameOwner(owner, self)) {
      return {kind: 'own', isFirst: replaces === undefined};
    }
    const status = await endAtOwner(options, claimed.job, owner, deadline);
    if (status.kind !== 'closed') return status;
    replaces = owner;
  }
  return {kind: 'uncertain'};
}

type OwnerEnd =
  | Exclude<OwnershipStatus, {readonly kind: 'own'}>
  /** No run of the job is at work, and this owner starts no more. */
  | {readonly kind: 'closed'};

/** Waits for a job's outcome at its owner, or until all runs that the owner has placed have ended. */
async function endAtOwner(
  options: OwnershipOptions,
  job: JobId,
  owner: JobOwner,
  deadline: Instant,
): Promise<OwnerEnd> {
  const {self, peerDispatchers, log} = options;
  const isEarlierProcess = owner.address === self?.address;
  const status = isEarlierProcess
    ? undefined
    : await peerDispatchers.awaitOutcome(owner.address, job, deadline);
  log.info(
    {
      event: 'job-elsewhere',
      job,
      owner: owner.address,
      life: owner.life,
      standing: isEarlierProcess ? 'restarted' : (status?.kind ?? 'none'),
    },
    'a job was previously submitted to another dispatcher process',
  );
  if (status !== undefined && status.kind !== 'unknown') {
    // The owner may have cleared the job for itself, so that targets take it from no other process.
    if (status.kind === 'closed') void clearOthers(options, job, deadline);
    return status;
  }
  const hasEnded = isEarlierProcess
    ? await endEarlierRuns(options, job, deadline)
    : await clearOthers(options, job, deadline);
  return {kind: hasEnded ? 'closed' : 'uncertain'};
}

/** Ends other dispatcher processes' runs of a job at all targets; false when a target does not confirm in time. */
export function clearOthers(
  {clear}: OwnershipOptions,
  job: JobId,
  deadline: Instant,
): Promise<boolean> {
  const limit = Math.min(deadline, monotonicClock.now() + clearTimeoutMs);
  return clear(job, limit);
}

/**
 * Ends the runs of a job that earlier processes at this address have placed. Where a target does not confirm,
 * waits until their permissions and leases have expired; false when the deadline passes first.
 */
export async function endEarlierRuns(
  {claims, clear}: OwnershipOptions,
  job: JobId,
  deadline: Instant,
): Promise<boolean> {
  // Earlier processes had ended when this one opened its table of claims.
  const lapsedAt = claims.openedAt + runLossMs;
  const limit = Math.min(deadline, lapsedAt);
  while (monotonicClock.now() < limit) {
    if (await clear(job, limit)) return true;
    const retryAt = monotonicClock.now() + clearRetryMs;
    await sleepUntil(Math.min(limit, retryAt), monotonicClock);
  }
  return lapsedAt <= deadline;
}

/** Claims a job at its first reachable registrars, one after another. Returns the other owner that a registrar knows, or this process if none does. */
export async function findOwner(
  options: OwnershipOptions,
  {job, service}: ClaimedJob,
  replaces: JobOwner | undefined,
): Promise<JobOwner> {
  const self = options.self!;
  const claim = {job, service, claimant: self, replaces};
  const {owner, answers} = await askRegistrars(options, claim);
  return answers < registrarsPerJob && isSameOwner(owner, self)
    ? options.claims.record(job, self, replaces)
    : owner;
}

interface RegistrarsAnswer {
  readonly owner: JobOwner;
  /** The number of registrars that answered. */
  readonly answers: number;
}

/** Sends a claim to a job's first reachable registrars, one after another, until one names another owner. */
async function askRegistrars(
  options: OwnershipOptions,
  claim: Claim,
): Promise<RegistrarsAnswer> {
  const {job, service, claimant} = claim;
  const registrars = rankRegistrars(job, options.listDispatchers(service));
  let answers = 0;
  for (const [rank, registrar] of registrars.entries()) {
    const answer = await askRegistrar(options, registrar, claim);
    if (answer === undefined) {
      if (rank < registrarsPerJob) options.onMissed(registrar);
      continue;
    }
    answers++;
    const {owner} = answer;
    if (!isSameOwner(owner, claimant)) return {owner, answers};
    if (answers === registrarsPerJob) break;
  }
  return {owner: claimant, answers};
}

/**
 * True when a process other than this one may have run a part of a job, so that it cannot be refused as not run.
 * The registrars are asked only for some time after this process has started, as it has known its own jobs since.
 */
export async function hasOtherOwner(
  options: OwnershipOptions,
  claimed: ClaimedJob,
): Promise<boolean> {
  const {self, claims} = options;
  if (self === undefined) return false;
  if (claims.isOther(claimed.job, self)) return true;
  const now = monotonicClock.now();
  if (now > claims.openedAt + maxJobAgeMs) return false;
  const {owner} = await askRegistrars(options, {
    ...claimed,
    claimant: self,
    replaces: undefined,
    isQuery: true,
  });
  return !isSameOwner(owner, self);
}

async function askRegistrar(
  {self, claims, peerDispatchers}: OwnershipOptions,
  registrar: Address,
  claim: Claim,
): Promise<ClaimAnswer | undefined> {
  if (registrar === self?.address) return claims.answer(claim);
  const deadline = monotonicClock.now() + claimTimeoutMs;
  return peerDispatchers.sendClaim(registrar, claim, deadline);
}
