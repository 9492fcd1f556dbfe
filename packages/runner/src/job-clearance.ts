import {type JobId, RecentMap, type RunEnd} from '#model';
import type {ClearJobParams, Peer} from '#protocol';
import type {Run} from './run.js';
import type {RunTable} from './run-table.js';
import {type DispatcherProcess, isSameProcess} from './session.js';
import type {SessionTable} from './session-table.js';

/** Capacity. It suffices because jobs change their dispatcher only after a fault. */
const maxRestrictions = 4096;
/** How often it is checked whether the stopped runs have ended, in ms. */
const checkIntervalMs = 50;

export interface JobClearanceOwner {
  readonly sessions: SessionTable;
  readonly runs: RunTable;
  readonly stop: (run: Run, end: RunEnd) => void;
  /** True while the executor may have runs that the runner does not know. */
  readonly hasUnknownRuns: () => boolean;
}

/** Jobs that were cleared for one dispatcher process: no other one may place them on this target. At capacity the oldest are dropped. */
export class JobClearance {
  private readonly allowed = new RecentMap<JobId, DispatcherProcess>(
    maxRestrictions,
  );

  constructor(private readonly owner: JobClearanceOwner) {}

  /** True when a job was cleared for another dispatcher process, unless that one is known to have ended. */
  isExcluded(job: JobId, dispatcher: DispatcherProcess): boolean {
    const allowed = this.allowed.get(job);
    return (
      allowed !== undefined &&
      !isSameProcess(allowed, dispatcher) &&
      !this.owner.sessions.isReplaced(allowed)
    );
  }

  /** Stops a job's runs for dispatcher processes other than the one that asks; resolves once all of them have ended. */
  async clear(
    {job, dispatcher, life}: ClearJobParams,
    peer: Peer,
  ): Promise<Record<string, never>> {
    const {sessions, runs, stop, hasUnknownRuns} = this.owner;
    const own =
      dispatcher === undefined || life === undefined
        ? sessions.find(peer)
        : {dispatcher, life};
    if (own === undefined) throw new Error('this dispatcher is not attached');
    this.allowed.set(job, {dispatcher: own.dispatcher, life: own.life});
    for (const run of runs.listOthers(job, own)) stop(run, 'stopped');
    while (runs.listOthers(job, own).length > 0 || hasUnknownRuns()) {
      await new Promise(resolve => setTimeout(resolve, checkIntervalMs));
      if (!peer.isOpen) throw new Error('the dispatcher has disconnected');
    }
    return {};
  }
}
