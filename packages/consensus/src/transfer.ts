import type {Instant} from '#model';
import type {ReplicaCore} from './core.js';
import type {Leadership} from './leadership.js';

/**
 * Begins a leadership transfer to the voter with the highest match index among
 * those that replied within the last election timeout. Does nothing if none did.
 */
export function beginTransfer(
  core: ReplicaCore,
  leadership: Leadership,
  now: Instant,
): void {
  const {electionTimeoutMs} = core.options.timing;
  const [successor] = [...leadership.progress.values()]
    .filter(progress => core.voters.includes(progress.id))
    .filter(({ackedRound}) => {
      const ackedRoundStart = leadership.rounds.getStartTime(ackedRound);
      return now < ackedRoundStart + electionTimeoutMs;
    })
    .sort((a, b) => b.matchIndex - a.matchIndex);
  if (!successor) return;
  const deadline = now + electionTimeoutMs;
  leadership.transfer = {to: successor.id, deadline};
  finishTransfer(core, leadership);
}

/** Asks the successor, once it has the whole log, to start an election, and gives up the lease. */
export function finishTransfer(
  core: ReplicaCore,
  leadership: Leadership,
): void {
  const {transfer} = leadership;
  if (!transfer) return;
  const progress = leadership.progress.get(transfer.to);
  if (progress?.matchIndex !== core.log.lastIndex) return;
  leadership.leaseEnded = true;
  core.outbox.send(transfer.to, {kind: 'take-over', term: core.term});
}
