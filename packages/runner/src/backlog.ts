import type {Run} from './run.js';

/** Runs that wait for room, the lowest rank first, equal ones in the order of arrival. */
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

  /** The run that comes last; undefined when none waits. */
  get last(): Run | undefined {
    return this.runs.at(-1);
  }

  /** Takes out the first run that fits; undefined when none does. */
  takeFirst(isFitting: (run: Run) => boolean): Run | undefined {
    const at = this.runs.findIndex(isFitting);
    return at === -1 ? undefined : this.runs.splice(at, 1)[0];
  }

  /** Takes out a run; false when it does not wait. */
  remove(run: Run): boolean {
    const at = this.runs.indexOf(run);
    if (at === -1) return false;
    this.runs.splice(at, 1);
    return true;
  }

  /** Takes out all. */
  takeAll(): readonly Run[] {
    return this.runs.splice(0);
  }
}
