import type {TaskFate, TaskRef} from '#model';

/** How a task that was sent to an agent ended, as far as can be known. */
export interface TaskEnd {
  readonly fate: TaskFate;
  /** Time at the target, in ms. */
  readonly runMs: number;
}

/** Names one task in maps. */
export function formatTask(ref: TaskRef): string {
  return `${ref.job}.${ref.task}`;
}

interface SentTask {
  readonly ref: TaskRef;
  readonly resolve: (end: TaskEnd) => void;
}

/** The tasks at one agent whose fate is awaited. */
export class SentTasks {
  private readonly tasks = new Map<string, SentTask>();
  /** Ends that came before their task was adopted. */
  private readonly early = new Map<string, TaskEnd>();
  private takeovers = 0;

  get size(): number {
    return this.tasks.size;
  }

  /** Waits for the end of a task; of an adopted one it may be known already. */
  add(ref: TaskRef): Promise<TaskEnd> {
    return new Promise(resolve => {
      const key = formatTask(ref);
      const end = this.early.get(key);
      if (end === undefined) this.tasks.set(key, {ref, resolve});
      else resolve(end);
    });
  }

  /** Ends a task; false when it was not awaited. */
  finish(ref: TaskRef, end: TaskEnd): boolean {
    const key = formatTask(ref);
    const task = this.tasks.get(key);
    if (task === undefined) {
      if (this.takeovers > 0) this.early.set(key, end);
      return false;
    }
    this.tasks.delete(key);
    task.resolve(end);
    return true;
  }

  list(): readonly TaskRef[] {
    return Array.from(this.tasks.values(), ({ref}) => ref);
  }

  /** Runs a takeover: meanwhile, ends of tasks not awaited yet are kept for those it adopts. */
  async takeOver<Result>(run: () => Promise<Result>): Promise<Result> {
    this.takeovers++;
    try {
      return await run();
    } finally {
      this.takeovers--;
      if (this.takeovers === 0) this.early.clear();
    }
  }
}
