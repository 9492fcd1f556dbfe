import type {Run} from './run.js';

/** Runs that wait for free capacity, ordered by ascending rank, then by arrival. */
export class Backlog {
  private readonly runs: Run[] = [];

  get size(): number {
    return this.runs.length;
  }

  add(run: Run): void {
    let at = this.runs.length;
    while (at > 0 && this.runs[at - 1]!.rank > run.rank) at--;
    this.runs.splice(at, 0, run);
  }

  /** The last run in order; undefined when the backlog is empty. */
  get last(): Run | undefined {
    return this.runs.at(-1);
  }

  /** Removes and returns the first run that fits; undefined when none does. */
  takeFirst(isFitting: (run: Run) => boolean): Run | undefined {
    const at = this.runs.findIndex(isFitting);
    return at === -1 ? undefined : this.runs.splice(at, 1)[0];
  }

  /** Removes a run; false when it is not in the backlog. */
  remove(run: Run): boolean {
    const at = this.runs.indexOf(run);
    if (at === -1) return false;
    this.runs.splice(at, 1);
    return true;
  }

  /** Removes and returns the runs for which a condition holds. */
  take(holds: (run: Run) => boolean): readonly Run[] {
    const taken = this.runs.filter(holds);
    for (const run of taken) this.remove(run);
    return taken;
  }
}
