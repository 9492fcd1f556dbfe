import type {Instant, JobId} from '#model';
import type {CancelJobResult} from '#protocol';
import {
  type ClaimedJob,
  clearOthers,
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
 * that is out of reach are cleared at the targets.
 */
export async function cancelForCaller(
  {ownership, cancelLocal, markCancelled}: CancellationOptions,
  claimed: ClaimedJob,
  deadline: Instant,
): Promise<CancelJobResult> {
  const {job, service} = claimed;
  const local = cancelLocal(job);
  if (local !== undefined) return local;
  const {address, peerDispatchers} = ownership;
  const owner =
    address === undefined
      ? undefined
      : await findOwner(ownership, claimed, undefined);
  if (owner === address || owner === undefined) {
    // It may have been accepted here meanwhile.
    const accepted = cancelLocal(job);
    if (accepted !== undefined) return accepted;
    markCancelled(job);
    return {kind: 'unknown'};
  }
  const answer = await peerDispatchers.cancelForCaller(
    owner,
    {job, service},
    deadline,
  );
  if (answer !== undefined) return answer;
  if (!(await clearOthers(ownership, job, deadline))) {
    return {kind: 'uncertain'};
  }
  const next = await findOwner(ownership, claimed, owner);
  if (next !== address) return {kind: 'uncertain'};
  markCancelled(job);
  return {kind: 'cancelled'};
}
