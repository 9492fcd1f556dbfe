import type {JobId, ResourceRequest, RunEnd, RunRef} from '#model';
import {emptyDemand, subtractDemand, sumDemand} from '#policy';
import {formatRun, type Run} from './run.js';
import {
  type DispatcherProcess,
  isSameProcess,
  type Session,
} from './session.js';

/** The accepted runs with their sessions and their total demand. */
export class RunTable {
  private readonly runs = new Map<string, Run>();
  private readonly owners = new Map<Run, Session>();
  private usedDemand: ResourceRequest = emptyDemand;
  private acceptedDemand: ResourceRequest = emptyDemand;

  /** The number of runs accepted and not yet ended. */
  get size(): number {
    return this.runs.size;
  }

  /** The demand of the runs that are, or may be, at the executor. */
  get used(): ResourceRequest {
    return this.usedDemand;
  }

  /** The demand of all accepted runs, including waiting ones. */
  get accepted(): ResourceRequest {
    return this.acceptedDemand;
  }

  find(ref: RunRef): Run | undefined {
    return this.runs.get(formatRun(ref));
  }

  findOwner(run: Run): Session | undefined {
    return this.owners.get(run);
  }

  list(): readonly Run[] {
    return [...this.runs.values()];
  }

  /** Lists the runs that are, or may be, at the executor. */
  listSent(): readonly Run[] {
    return this.list().filter(({phase}) => phase.kind !== 'waiting');
  }

  /** Lists the runs of a job that other dispatcher processes placed. */
  listOthers(job: JobId, own: DispatcherProcess): readonly Run[] {
    return this.list().filter(
      run => run.ref.job === job && !isSameProcess(this.owners.get(run)!, own),
    );
  }

  add(run: Run, session: Session): void {
    this.runs.set(formatRun(run.ref), run);
    this.owners.set(run, session);
    session.add(run);
    this.acceptedDemand = sumDemand(this.acceptedDemand, run.demand);
  }

  /** Notes that a waiting run is about to be sent to the executor. */
  noteStart(run: Run): void {
    this.usedDemand = sumDemand(this.usedDemand, run.demand);
  }

  /** Removes an ended run and queues its outcome for its dispatcher; false when it was already removed. */
  remove(run: Run, end: RunEnd, runMs: number): boolean {
    const session = this.owners.get(run);
    if (session === undefined) return false;
    if (run.phase.kind !== 'waiting') {
      this.usedDemand = subtractDemand(this.usedDemand, run.demand);
    }
    this.acceptedDemand = subtractDemand(this.acceptedDemand, run.demand);
    this.owners.delete(run);
    this.runs.delete(formatRun(run.ref));
    session.remove(run);
    session.addEnd(run.ticket, end, runMs);
    return true;
  }
}
