import type {TaskResult, TaskRef} from '#model';

/** The outcome of a task that was sent to an agent. */
export interface TaskEnd {
  readonly fate: TaskResult;
  /** Run time at the target, in ms; 0 when not known. */
  readonly runMs: number;
}

/** Formats a task reference as a map key. */
export function formatTask(ref: TaskRef): string {
  return `${ref.job}.${ref.task}`;
}

interface SentTask {
  readonly ref: TaskRef;
  readonly resolve: (end: TaskEnd) => void;
}

/** The tasks at one agent whose outcomes are awaited. */
export class SentTasks {
  private readonly tasks = new Map<string, SentTask>();
  /** Outcomes that arrived before their task was adopted. */
  private readonly earlyEnds = new Map<string, TaskEnd>();
  private takeovers = 0;

  get size(): number {
    return this.tasks.size;
  }

  /** Waits for the end of a task. The end of an adopted task may have arrived already. */
  add(ref: TaskRef): Promise<TaskEnd> {
    return new Promise(resolve => {
      const key = formatTask(ref);
      const end = this.earlyEnds.get(key);
      if (end === undefined) this.tasks.set(key, {ref, resolve});
      else resolve(end);
    });
  }

  /** Records the end of a task; false when it was not awaited. */
  finish(ref: TaskRef, end: TaskEnd): boolean {
    const key = formatTask(ref);
    const task = this.tasks.get(key);
    if (task === undefined) {
      if (this.takeovers > 0) this.earlyEnds.set(key, end);
      return false;
    }
    this.tasks.delete(key);
    task.resolve(end);
    return true;
  }

  list(): readonly TaskRef[] {
    return Array.from(this.tasks.values(), ({ref}) => ref);
  }

  /**
   * Runs a takeover. Until it completes, ends of tasks that are not awaited are retained for tasks
   * that it adopts.
   */
  async runTakeover<Result>(run: () => Promise<Result>): Promise<Result> {
    this.takeovers++;
    try {
      return await run();
    } finally {
      this.takeovers--;
      if (this.takeovers === 0) this.earlyEnds.clear();
    }
  }
}
