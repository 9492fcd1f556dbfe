import type {Instant, TargetInfo} from '#model';
import {
  canQueueAhead,
  emptyDemand,
  hasCapacityFor,
  shouldDisplace,
  subtractDemand,
  sumDemand,
} from '#policy';
import type {RunBatch} from '#protocol';
import type {ActiveJob} from '../src/active-job.js';
import type {OutstandingRun} from '../src/link.js';
import type {ModelDispatcher, PoolModel} from './pool-model.js';

export interface ModelRun {
  readonly from: ModelDispatcher;
  readonly job: ActiveJob;
  readonly batch: RunBatch;
  readonly run: OutstandingRun;
  readonly rank: number;
  readonly workMs: number;
}

const speeds = [0.8, 1, 1.25];
const sizes = [1, 1, 1.5];

/** A target with the product's rules for accepting, displacing and starting runs. */
export class ModelTarget {
  busyUntil: Instant = 0;
  accepted = emptyDemand;
  slowness = 1;
  readonly info: TargetInfo;
  readonly capacity;
  private used = emptyDemand;
  private readonly waiting: ModelRun[] = [];
  private readonly speed: number;

  constructor(
    private readonly model: PoolModel,
    id: number,
  ) {
    this.speed = speeds[id % speeds.length]!;
    const cpuMillis = 32_000 * sizes[(id >> 2) % sizes.length]!;
    this.capacity = {
      kind: 'room' as const,
      cpuMillis,
      memoryMb: 65_536,
      accelerators: 0,
      labels: [],
    };
    this.info = {
      target: String(id),
      incarnation: 1,
      service: 'tally',
      address: `a${id}`,
      place: {
        site: 's',
        region: 'r',
        failureDomain: `d${id % 3}`,
        rack: 'none',
      },
      capacity: this.capacity,
      leaving: false,
    };
  }

  get waitingRank(): number | undefined {
    return this.waiting.at(-1)?.rank;
  }

  accept(run: ModelRun): void {
    const isFull = !hasCapacityFor(this.capacity, this.used, run.run.demand);
    const last = this.waiting.at(-1);
    const canDisplace =
      last !== undefined && shouldDisplace(run.rank, last.rank);
    const canQueue = canQueueAhead(this.capacity, this.accepted);
    if (
      (isFull && run.batch.mayWait === false) ||
      (!canQueue && !canDisplace)
    ) {
      this.model.send(run.from, () => run.from.end(this, run, 'not-run', 0));
      return;
    }
    if (!canQueue) this.remove(last!);
    this.accepted = sumDemand(this.accepted, run.run.demand);
    const position = this.waiting.findIndex(({rank}) => rank > run.rank);
    this.waiting.splice(
      position === -1 ? this.waiting.length : position,
      0,
      run,
    );
    this.startWaiting();
  }

  /** Returns the waiting runs of a job. */
  withdraw(job: ActiveJob): void {
    for (const run of this.waiting.filter(each => each.job === job))
      this.remove(run);
  }

  private remove(run: ModelRun): void {
    this.waiting.splice(this.waiting.indexOf(run), 1);
    this.accepted = subtractDemand(this.accepted, run.run.demand);
    this.model.send(run.from, () => run.from.end(this, run, 'not-run', 0));
  }

  private startWaiting(): void {
    for (;;) {
      const at = this.waiting.findIndex(({run}) =>
        hasCapacityFor(this.capacity, this.used, run.demand),
      );
      if (at === -1) return;
      const [run] = this.waiting.splice(at, 1);
      this.used = sumDemand(this.used, run!.run.demand);
      this.start(run!);
    }
  }

  private start(run: ModelRun): void {
    const {model} = this;
    model.begun++;
    const runMs = run.workMs / this.speed;
    model.schedule(model.now + model.pattern.messageMs + runMs, () => {
      this.used = subtractDemand(this.used, run.run.demand);
      this.accepted = subtractDemand(this.accepted, run.run.demand);
      this.slowness += 0.05 * (runMs / run.batch.estimateMs - this.slowness);
      this.startWaiting();
      model.send(run.from, () => run.from.end(this, run, 'succeeded', runMs));
    });
  }
}
