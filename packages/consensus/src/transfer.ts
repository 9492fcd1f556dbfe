import type {Instant} from '#model';
import type {Core} from './core.js';
import type {Leadership} from './leadership.js';

/** Begins to hand over to the voter that has most of the log. */
export function beginTransfer(
  core: Core,
  leadership: Leadership,
  now: Instant,
): void {
  const {electionTimeoutMs} = core.options.timing;
  const [successor] = [...leadership.progress.values()]
    .filter(progress => core.voters.includes(progress.id))
    .filter(({ackedRound}) => {
      const heardSince = leadership.rounds.getStart(ackedRound);
      return now < heardSince + electionTimeoutMs;
    })
    .sort((a, b) => b.matchIndex - a.matchIndex);
  if (!successor) return;
  const deadline = now + electionTimeoutMs;
  leadership.transfer = {to: successor.id, deadline};
  finishTransfer(core, leadership);
}

/** Asks the successor to stand once it has the whole log. The lease ends for good. */
export function finishTransfer(core: Core, leadership: Leadership): void {
  const {transfer} = leadership;
  if (!transfer) return;
  const progress = leadership.progress.get(transfer.to);
  if (progress?.matchIndex !== core.log.lastIndex) return;
  leadership.leaseEnded = true;
  core.outbox.send(transfer.to, {kind: 'take-over', term: core.term});
}
