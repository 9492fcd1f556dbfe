import PQueue from 'p-queue';
import {
  type Clock,
  computeRemainingMs,
  type Epoch,
  type ServiceConfig,
  type TargetId,
} from '#model';
import type {Execution} from './execution.js';
import type {AgentLink, TaskEnd} from './link.js';

/** What a pool needs of the entry that owns it. */
export interface PoolOwner {
  readonly clock: Clock;
  /** The epoch under which tasks may start now, if any. */
  readonly getStartingEpoch: () => Epoch | undefined;
  readonly getKeepMs: (unrepeatable: boolean) => number;
  readonly onTaskEnd: (execution: Execution, end: TaskEnd) => void;
}

/** One service's waiting tasks and the slots that they wait for. */
export class Pool {
  readonly links = new Map<TargetId, AgentLink>();
  /** Waiting tasks that were found over when their turn came. */
  private readonly queue = new PQueue({autoStart: false, concurrency: 1});

  constructor(
    public service: ServiceConfig,
    private readonly owner: PoolOwner,
  ) {}

  /** Tasks that wait for a slot. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Tasks at targets. */
  get running(): number {
    return this.queue.pending;
  }

  /** Queues tasks of a job until slots are free. */
  add(execution: Execution, tasks: readonly number[]): void {
    for (const task of tasks) {
      void this.queue.add(() => this.place(execution, task));
    }
    this.openSlots();
  }

  /** Lets as many tasks start as there are free slots. */
  openSlots(): void {
    const free = this.countFree();
    if (free === 0 || this.owner.getStartingEpoch() === undefined) {
      this.queue.pause();
      if (this.queue.size > 0) this.reportDemand();
      return;
    }
    this.queue.concurrency = this.queue.pending + free;
    this.queue.start();
  }

  private countFree(): number {
    let free = 0;
    for (const link of this.links.values()) {
      if (link.isReady) free += link.free;
    }
    return free;
  }

  private async place(execution: Execution, task: number): Promise<void> {
    if (execution.isOver) return;
    const link = this.chooseLink();
    if (link === undefined || this.owner.getStartingEpoch() === undefined) {
      setImmediate(() => this.add(execution, [task]));
      return;
    }
    const {submission, deadline} = execution.job;
    execution.apply({
      kind: 'sent',
      task,
      target: link.target.target,
      incarnation: link.target.incarnation,
    });
    const end = await link.start(
      {
        job: submission.job,
        task,
        payload: submission.tasks[task]!.payload,
        remainingMs: computeRemainingMs(this.owner.clock.now(), deadline),
        keepMs: this.owner.getKeepMs(submission.unrepeatable),
        granted: true,
      },
      this.queue.size,
    );
    this.finish(execution, task, end);
  }

  private finish(execution: Execution, task: number, end: TaskEnd): void {
    execution.apply({kind: 'fate', task, fate: end.fate});
    this.owner.onTaskEnd(execution, end);
    if (end.fate.kind === 'not-run' && !execution.isOver) {
      this.add(execution, [task]);
    }
  }

  private chooseLink(): AgentLink | undefined {
    let best: AgentLink | undefined;
    for (const link of this.links.values()) {
      if (!link.isReady || link.free === 0) continue;
      if (best === undefined || link.free > best.free) best = link;
    }
    return best;
  }

  private reportDemand(): void {
    for (const link of this.links.values()) link.reportDemand(this.waiting);
  }
}
