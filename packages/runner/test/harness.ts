import {type Either, Left, Right} from 'purify-ts';
import type {RunRef} from '#model';
import {
  type Handlers,
  type Peer,
  dialPeer,
  PeerListener,
  type ReportRunsParams,
  type RunBatch,
  type RunEndRow,
} from '#protocol';
import {
  type ExecutorEndedRun,
  type ExecutorInfo,
  type ExecutorRunEnd,
  type ExecutorPort,
  type ExecutorReport,
  type LeaseRequest,
  Runner,
  type RunnerOptions,
  type StartRequest,
  type StartOutcome,
} from '#runner';
import {openLog} from '#telemetry';

/** An in-memory executor that can leave starts unanswered, execute them late, or stop answering. */
export class FakeExecutor implements ExecutorPort {
  readonly running = new Map<string, RunRef>();
  readonly starts: RunRef[] = [];
  /** Starts left unanswered while `isDelayingStarts`; a test may execute them later. */
  readonly late: StartRequest[] = [];
  /** How often a run was started while another one of its task was running. */
  duplicateStarts = 0;
  /** Returns the progress to report for every run, in percent. */
  readPercent = () => 1;
  isSilent = false;
  incarnation = 1;
  /** The `waitMs` of each lease request. */
  readonly waits: number[] = [];
  /** The fences of all requests for its lists. */
  readonly fences: number[] = [];
  /** False to leave requests for its lists unanswered. */
  isListing = true;
  isDelayingStarts = false;
  /** False to leave stops unanswered and not execute them. */
  isStopping = true;
  /** True to end all runs when the lease expires. */
  isLapsing = false;
  /** How many runs have ended so. */
  lapses = 0;
  /** Called before a run is started. */
  onStart: (ref: RunRef) => void = () => {};
  private readonly stopped = new Set<string>();
  private ended: ExecutorEndedRun[] = [];
  private count = 0;
  private leaseEndsAt = Infinity;

  async startRun(request: StartRequest): Promise<StartOutcome> {
    if (this.isSilent) return {kind: 'unanswered', detail: 'silent'};
    if (this.isDelayingStarts) {
      this.late.push(request);
      return {kind: 'unanswered', detail: 'left for later'};
    }
    return this.executeStart(request);
  }

  /** Executes a start, also one that was left unanswered before. */
  executeStart({ref, leaseMs}: StartRequest): StartOutcome {
    const name = formatTask(ref);
    if (this.stopped.has(`${name}#${ref.run}`)) {
      return {kind: 'refused', reason: 'outdated'};
    }
    if (this.running.has(name)) this.duplicateStarts++;
    this.onStart(ref);
    this.leaseEndsAt = performance.now() + leaseMs;
    this.running.set(name, ref);
    this.starts.push(ref);
    return {kind: 'started'};
  }

  async stopRun(ref: RunRef): Promise<Either<string, void>> {
    if (this.isSilent || !this.isStopping) return Left('silent');
    this.stopped.add(`${formatTask(ref)}#${ref.run}`);
    if (this.running.has(formatTask(ref))) this.end(ref, 'stopped');
    return Right(undefined);
  }

  async renewLease({
    fence,
    leaseMs,
    acknowledged,
    waitMs,
  }: LeaseRequest): Promise<Either<string, ExecutorReport>> {
    this.waits.push(waitMs);
    this.fences.push(fence);
    await sleep(Math.min(waitMs, 20));
    this.expireLease();
    if (this.isSilent || !this.isListing) return Left('silent');
    if (leaseMs !== undefined) this.leaseEndsAt = performance.now() + leaseMs;
    this.ended = this.ended.filter(({number}) => number > acknowledged);
    return Right({
      incarnation: this.incarnation,
      running: [...this.running.values()].map(ref => ({
        ref,
        percent: this.readPercent(),
      })),
      ended: [...this.ended],
    });
  }

  /** Drops all runs and continues as another incarnation, which has not announced itself yet. */
  restart(incarnation: number): void {
    this.incarnation = incarnation;
    this.running.clear();
    this.stopped.clear();
    this.ended = [];
    this.count = 0;
  }

  /** Ends a run, as if its task had finished. */
  end(ref: RunRef, end: ExecutorRunEnd): void {
    this.running.delete(formatTask(ref));
    this.ended.push({number: ++this.count, ref, end});
  }

  /** Ends all runs if the lease has expired. */
  expireLease(): void {
    if (!this.isLapsing || !this.isLapsed) return;
    this.lapses += this.running.size;
    this.running.clear();
  }

  /** True once the lease has expired. */
  get isLapsed(): boolean {
    return performance.now() > this.leaseEndsAt;
  }

  async [Symbol.asyncDispose](): Promise<void> {}
}

export function formatTask({job, step, index}: RunRef): string {
  return `${job}.${step}.${index}`;
}

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until a condition holds; the test's own timeout is the limit. */
export async function waitUntil(holds: () => boolean): Promise<void> {
  while (!holds()) await sleep(5);
}

/** A fake dispatcher that is connected to the runner. */
export interface FakeDispatcher {
  readonly peer: Peer;
  readonly ends: RunEndRow[];
  /** All reports received, including those with ends. */
  readonly reports: ReportRunsParams[];
  /** False to leave permission requests unanswered. */
  permits: boolean;
  /** The delay before it answers permission requests, in ms. */
  answerDelayMs: number;
  readonly place: (
    ticket: number,
    index?: number,
    run?: number,
    changes?: Partial<RunBatch>,
  ) => void;
}

const firstInfo: ExecutorInfo = {
  target: 'target',
  incarnation: 1,
  service: 'tally',
  room: {
    kind: 'room',
    cpuMillis: 4000,
    memoryMb: 4096,
    accelerators: 0,
    labels: [],
  },
  draining: false,
};

/** Starts a runner on a fake executor that has announced itself. */
export async function startRunner(
  orphans: readonly RunRef[] = [],
  /** Further handlers served at the runner's address. */
  extraHandlers: Handlers = {},
  {
    executor = new FakeExecutor(),
    address = '127.0.0.1:0',
    ...options
  }: Partial<RunnerOptions> & {
    readonly executor?: FakeExecutor;
    readonly address?: string;
  } = {},
) {
  for (const ref of orphans) executor.running.set(formatTask(ref), ref);
  const runner = new Runner({
    log: openLog('silent', 'agent', 'r'),
    port: executor,
    ...options,
  });
  const listener = (
    await PeerListener.listen(
      address,
      Object.assign(extraHandlers, runner.createHandlers()),
    )
  ).unsafeCoerce();
  runner.announce(firstInfo);
  const attach = async (
    dispatcher: string,
    life = 1,
    tickets: readonly number[] = [],
  ): Promise<FakeDispatcher> => {
    const ends: RunEndRow[] = [];
    const reports: ReportRunsParams[] = [];
    const fake = {ends, reports, permits: true, answerDelayMs: 0} as {
      -readonly [K in keyof FakeDispatcher]: FakeDispatcher[K];
    };
    const dialled = await dialPeer(
      listener.address,
      {
        'dispatcher.report': (report, peer) => {
          ends.push(...report.ends);
          reports.push(report);
          const {question} = report;
          if (question === undefined || !fake.permits) return;
          void sleep(fake.answerDelayMs).then(() =>
            peer.notify('runner.permit', {question}),
          );
        },
      },
      performance.now() + 1000,
    );
    fake.peer = dialled.unsafeCoerce();
    for (;;) {
      const attached = await fake.peer.request(
        'runner.attach',
        {dispatcher, life, tickets: [...tickets]},
        performance.now() + 1000,
      );
      if (attached.isRight()) {
        ends.push(...attached.unsafeCoerce().ended);
        break;
      }
      await sleep(10);
    }
    fake.place = (ticket, index = 0, run = 1, changes = {}) =>
      fake.peer.notify('runner.place', {
        batches: [
          {
            job: 'job',
            payload: '',
            step: 0,
            demand: {cpuMillis: 1000, memoryMb: 1, accelerators: 0},
            estimateMs: 10_000,
            rankMs: 0,
            runs: [[ticket, index, run]],
            ...changes,
          },
        ],
      });
    return fake;
  };
  return {
    address: listener.address,
    executor,
    runner,
    attach,
    /** Announces the executor with changes; a new incarnation has no runs. */
    announce(changes: Partial<ExecutorInfo>) {
      const info = {...firstInfo, ...changes};
      if (info.incarnation > executor.incarnation) executor.running.clear();
      executor.incarnation = info.incarnation;
      runner.announce(info);
    },
    async [Symbol.asyncDispose]() {
      await listener[Symbol.asyncDispose]();
      await runner[Symbol.asyncDispose]();
    },
  };
}
