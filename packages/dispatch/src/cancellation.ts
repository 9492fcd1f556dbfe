import type {Instant, JobId} from '#model';
import type {CancelJobResult} from '#protocol';
import {isSameOwner, type JobOwner} from './claims.js';
import {
  type ClaimedJob,
  clearOthers,
  endEarlierRuns,
  findOwner,
  type OwnershipOptions,
} from './ownership.js';

export interface CancellationOptions {
  readonly ownership: OwnershipOptions;
  /** Cancels a job that this dispatcher runs or ran; undefined when it knows no such job. */
  readonly cancelLocal: (job: JobId) => CancelJobResult | undefined;
  /** Keeps a job from being run here later. */
  readonly markCancelled: (job: JobId) => void;
}

/**
 * Cancels a job for its caller, wherever it runs. Its owner remembers that, so that a late copy of its
 * submission is answered as cancelled; a job that nobody owns is claimed for that. The runs of an owner
 * that is out of reach, or was an earlier process at this address, are cleared at the targets.
 */
export async function cancelForCaller(
  options: CancellationOptions,
  claimed: ClaimedJob,
  deadline: Instant,
): Promise<CancelJobResult> {
  const {ownership, cancelLocal, markCancelled} = options;
  const {job} = claimed;
  const local = cancelLocal(job);
  if (local !== undefined) return local;
  const {self} = ownership;
  const owner =
    self === undefined
      ? undefined
      : await findOwner(ownership, claimed, undefined);
  if (owner === undefined || isSameOwner(owner, self!)) {
    // It may have been accepted here meanwhile.
    const accepted = cancelLocal(job);
    if (accepted !== undefined) return accepted;
    markCancelled(job);
    return {kind: 'unknown'};
  }
  const answer = await cancelAtOwner(options, claimed, owner, deadline);
  if (answer !== undefined) return answer;
  const next = await findOwner(ownership, claimed, owner);
  if (!isSameOwner(next, self!)) return {kind: 'uncertain'};
  markCancelled(job);
  return {kind: 'cancelled'};
}

/** Has a job's owner cancel it; undefined when the owner is lost and its runs have ended. */
async function cancelAtOwner(
  {ownership}: CancellationOptions,
  {job, service}: ClaimedJob,
  owner: JobOwner,
  deadline: Instant,
): Promise<CancelJobResult | undefined> {
  if (owner.address === ownership.self?.address) {
    return (await endEarlierRuns(ownership, job, deadline))
      ? undefined
      : {kind: 'uncertain'};
  }
  const answer = await ownership.peerDispatchers.cancelForCaller(
    owner.address,
    {job, service},
    deadline,
  );
  if (answer !== undefined) return answer;
  return (await clearOthers(ownership, job, deadline))
    ? undefined
    : {kind: 'uncertain'};
}
