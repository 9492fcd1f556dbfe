import {
  type Address,
  type Clock,
  type FailureDomain,
  type Instant,
  type JobId,
  type ResourceRequest,
  type RunEnd,
  type RunRef,
  type TargetId,
  type TargetInfo,
} from '#model';
import {
  dialPeer,
  dialTimeoutMs,
  type Liveness,
  type ExecutorDescription,
  type Peer,
  type ReportRunsParams,
  type RunBatch,
  type RunEndRow,
  type RunTicket,
  type TargetLoad,
} from '#protocol';
import {type CandidateTarget, agentStartMs} from '#policy';
import {executorLeaseMs, idleReportIntervalMs, permissionTtlMs} from '#runner';
import type {Logger} from '#telemetry';

/** A run that was placed on a target and is not known to have ended. */
export interface OutstandingRun {
  readonly ticket: RunTicket;
  readonly ref: RunRef;
  readonly demand: ResourceRequest;
  readonly placedAt: Instant;
  /** The target's slowness when the run was placed. */
  readonly slownessAtPlacement: number;
  /** Factor on its run time by the distance of its data. */
  readonly remoteFactor: number;
  /** Set once the run is being withdrawn so that another target can run its task. */
  isMoving: boolean;
}

export interface RunnerLinkOwner {
  readonly clock: Clock;
  readonly log: Logger;
  readonly dispatcher: string;
  /** The target on the dispatcher's own host; undefined for a dispatcher without one. */
  readonly localTarget?: TargetId;
  readonly life: number;
  readonly failureDomain: string;
  /** Called when a run has ended and nothing of it is left at the target. */
  readonly onEnd: (
    target: TargetId,
    run: OutstandingRun,
    end: RunEnd,
    runMs: number,
  ) => void;
  /** Called when the target's free capacity or availability may have changed. */
  readonly onLoad: () => void;
}

/** While runs are outstanding: between hosts of a site, silence of a second is a fault. */
const busyLiveness: Liveness = {probeAfterMs: 500, silenceLimitMs: 1200};
/** While no runs are outstanding: two reports of an idle target may be missed. */
const idleLiveness: Liveness = {
  probeAfterMs: 2.5 * idleReportIntervalMs,
  silenceLimitMs: 3 * idleReportIntervalMs,
};
/** A target that has been silent for longer than this is overdue with its report and gets no runs. */
const maxSilenceMs = 1.5 * idleReportIntervalMs;
const attachTimeoutMs = 600;
const initialRetryDelayMs = 30;
const maxRetryDelayMs = 1000;
/** Jobs don't wait for a target that is disconnected for longer: a reset connection is reopened within a tenth of this. */
const temporaryOutageMs = 1000;
/** Allows for the drift between two hosts' clocks over a lease, and for the time that stopping a run takes. */
const safetyMarginMs = 130;
/** After this long without a new permission, a target's runs have ended: its runner has stopped them or they have lapsed at its executor. */
export const runLossMs = permissionTtlMs + executorLeaseMs + safetyMarginMs;

/** A dispatcher's connection to the runner of one target, and the dispatcher's runs there. */
export class RunnerLink implements AsyncDisposable {
  /** Counts reports received, run ends in them, and reports that carried only a load. */
  reportCount = 0;
  endCount = 0;
  loadOnlyCount = 0;
  private readonly outstanding = new Map<RunTicket, OutstandingRun>();
  /** The latest connection, which may not be attached yet. */
  private peer: Peer | undefined;
  /** The connection on which `runner.attach` has succeeded, so that both ends agree about the runs. */
  private attached: Peer | undefined;
  private load: TargetLoad | undefined;
  /** The executor as its runner described it on the latest attached connection; newer than control's view. */
  private executor: ExecutorDescription | undefined;
  /** Withdrawn runs whose end has not been reported; the value is true when a run is to end only if it has not begun. */
  private readonly pendingWithdrawals = new Map<RunTicket, boolean>();
  /** The estimated number of placed runs that the agent had yet to begin at `lastPlacedAt`. */
  private pendingStarts = 0;
  /** When runs were last placed. */
  private lastPlacedAt: Instant = -Infinity;
  private loadReportedAt: Instant = 0;
  private outstandingDemand: ResourceRequest = {
    cpuMillis: 0,
    memoryMb: 0,
    accelerators: 0,
  };
  /** When this dispatcher last permitted the target's runs to continue. */
  private permittedAt: Instant = -Infinity;
  /** When the connection was lost or this link was created; undefined while attached. */
  private disconnectedSince: Instant | undefined;
  private stopped = false;
  private wake: () => void = () => {};
  private lossTimer: NodeJS.Timeout | undefined;
  private readonly loop: Promise<void>;

  constructor(
    private info: TargetInfo,
    private readonly owner: RunnerLinkOwner,
  ) {
    this.disconnectedSince = owner.clock.now();
    this.loop = this.keepConnected();
  }

  get target(): TargetId {
    return this.info.target;
  }

  get address(): Address {
    return this.info.address;
  }

  /** True while a connection is open, also one that is not attached yet. */
  get isConnected(): boolean {
    return this.peer?.isOpen === true;
  }

  get failureDomain(): FailureDomain {
    return this.info.place.failureDomain;
  }

  get service(): string {
    return (this.executor ?? this.info).service;
  }

  /** True when runs can be placed on the target. */
  get isOpen(): boolean {
    const {attached, load, info} = this;
    return (
      attached?.isOpen === true &&
      attached.silentMs < maxSilenceMs &&
      load?.open === true &&
      !info.leaving
    );
  }

  /**
   * True for a short time after the target was discovered or disconnected, and while it is connected
   * but silent: it may reconnect at once, or this process was stalled and has not read its reports yet.
   */
  get isTemporarilyUnreachable(): boolean {
    const {attached, disconnectedSince, owner, info} = this;
    if (info.leaving) return false;
    if (disconnectedSince === undefined) {
      return attached !== undefined && attached.silentMs >= maxSilenceMs;
    }
    return owner.clock.now() < disconnectedSince + temporaryOutageMs;
  }

  /** Bytes queued for sending that the operating system has not accepted yet. */
  get unsentBytes(): number {
    return this.attached?.unsentBytes ?? 0;
  }

  /** True when no runs are outstanding. */
  get isIdle(): boolean {
    return this.outstanding.size === 0;
  }

  /** Lists the runs that are not known to have ended. */
  listRuns(): readonly OutstandingRun[] {
    return [...this.outstanding.values()];
  }

  /** The ratio of the target's run times to callers' estimates, as last reported. */
  get slowness(): number {
    return this.load?.slowness ?? 1;
  }

  /** Estimates how many of the placed runs the agent has yet to begin now. */
  private estimatePendingStarts(): number {
    const begun = (this.owner.clock.now() - this.lastPlacedAt) / agentStartMs;
    return Math.max(0, this.pendingStarts - begun);
  }

  /** Updates the target's data from control's view. */
  update(info: TargetInfo): void {
    this.info = info;
    this.owner.onLoad();
  }

  /** Describes the target for placement; undefined before the first report. */
  describe(): CandidateTarget | undefined {
    const {place} = this.info;
    const {capacity} = this.executor ?? this.info;
    const {load, outstandingDemand} = this;
    if (capacity.kind !== 'room' || load === undefined) return undefined;
    return {
      target: this.target,
      capacity,
      used: {
        cpuMillis: load.cpuMillis + outstandingDemand.cpuMillis,
        memoryMb: load.memoryMb + outstandingDemand.memoryMb,
        accelerators: load.accelerators + outstandingDemand.accelerators,
      },
      slowness: load.slowness,
      failing: load.failing,
      pendingStarts: this.estimatePendingStarts(),
      isInSameDomain: place.failureDomain === this.owner.failureDomain,
      ...(load.waitingRankMs !== undefined && {
        waitingRank: this.loadReportedAt + load.waitingRankMs,
      }),
    };
  }

  /** Sends runs to the target. They are outstanding from now on. */
  place(batch: RunBatch, runs: ReadonlyMap<RunTicket, OutstandingRun>): void {
    this.pendingStarts = this.estimatePendingStarts() + runs.size;
    this.lastPlacedAt = this.owner.clock.now();
    for (const [ticket, run] of runs) {
      this.outstanding.set(ticket, run);
      this.outstandingDemand = changeDemand(
        this.outstandingDemand,
        run.demand,
        1,
      );
    }
    this.attached!.notify('runner.place', {batches: [batch]});
    this.attached!.setLiveness(busyLiveness);
  }

  /**
   * Asks the target to end runs, or only those that have not begun; their ends are reported as usual.
   * While not attached, the request is sent after the next attach: the runner knows no runs on a
   * connection that is not attached yet. A request to end a run in any case stands whatever is
   * asked for later.
   */
  withdraw(tickets: readonly RunTicket[], waitingOnly = false): void {
    if (tickets.length === 0) return;
    for (const ticket of tickets) {
      const earlier = this.pendingWithdrawals.get(ticket) ?? true;
      this.pendingWithdrawals.set(ticket, earlier && waitingOnly);
    }
    this.attached?.notify('runner.withdraw', {tickets, waitingOnly});
  }

  /** Ends other dispatcher processes' runs of a job at the target; false when the target does not confirm in time. */
  async clear(job: JobId, deadline: Instant): Promise<boolean> {
    const {dispatcher, life} = this.owner;
    const reply = await this.peer?.request(
      'runner.clear',
      {job, dispatcher, life},
      deadline,
    );
    return reply?.isRight() === true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped = true;
    clearTimeout(this.lossTimer);
    this.wake();
    await this.peer?.[Symbol.asyncDispose]();
    await this.loop;
  }

  private async keepConnected(): Promise<void> {
    let retryDelayMs = initialRetryDelayMs;
    while (!this.stopped) {
      const peer = await this.connect();
      if (peer !== undefined) {
        retryDelayMs = initialRetryDelayMs;
        const cause = await peer.closed;
        this.owner.log.info(
          {event: 'runner-lost', target: this.target, cause},
          'the connection to a runner was closed',
        );
        this.disconnectedSince = this.owner.clock.now();
        this.scheduleLoss();
        this.owner.onLoad();
      }
      if (this.stopped) return;
      await this.pause(retryDelayMs);
      retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
    }
  }

  private async connect(): Promise<Peer | undefined> {
    const {clock, dispatcher, life} = this.owner;
    let reported: Pick<ReportRunsParams, 'load' | 'executor'> | undefined;
    const dialled = await dialPeer(
      this.info.address,
      {
        'dispatcher.report': ({ends, load, executor, question}, peer) => {
          if (question !== undefined) this.grantPermission(question, peer);
          else if (ends.length === 0) this.loadOnlyCount++;
          if (peer !== this.peer) return;
          reported = {load, executor: executor ?? reported?.executor};
          if (executor !== undefined) this.executor = executor;
          this.applyReport(ends, load);
        },
      },
      clock.now() + dialTimeoutMs,
      busyLiveness,
    );
    const peer = dialled.toMaybe().extract();
    if (peer === undefined || this.stopped) {
      peer?.close('closed by this end');
      return undefined;
    }
    this.peer = peer;
    this.attached = undefined;
    const attached = await peer.request(
      'runner.attach',
      {dispatcher, life, tickets: [...this.outstanding.keys()]},
      clock.now() + attachTimeoutMs,
    );
    return attached.caseOf({
      Left: failure => {
        peer.close(`attaching failed: ${failure.kind}`);
        return undefined;
      },
      Right: ({ended, load, service, capacity}) => {
        clearTimeout(this.lossTimer);
        this.lossTimer = undefined;
        this.disconnectedSince = undefined;
        this.attached = peer;
        // A report that follows the answer closely is handled before it and is newer.
        this.executor = reported?.executor ?? (capacity && {service, capacity});
        this.applyReport(ended, reported?.load ?? load);
        this.withdrawAgain(peer);
        this.owner.log.info(
          {event: 'runner-attached', target: this.target, load},
          'attached to a runner',
        );
        return peer;
      },
    });
  }

  private withdrawAgain(peer: Peer): void {
    for (const waitingOnly of [true, false]) {
      const tickets = [...this.pendingWithdrawals]
        .filter(([, isWaitingOnly]) => isWaitingOnly === waitingOnly)
        .map(([ticket]) => ticket);
      if (tickets.length === 0) continue;
      peer.notify('runner.withdraw', {tickets, waitingOnly});
    }
  }

  /** Ignores a permission request on a connection that is not attached yet: the runner asks again. */
  private grantPermission(question: number, peer: Peer): void {
    if (peer !== this.attached) return;
    this.permittedAt = this.owner.clock.now();
    peer.notify('runner.permit', {question});
  }

  private applyReport(ends: readonly RunEndRow[], load: TargetLoad): void {
    this.load = load;
    this.loadReportedAt = this.owner.clock.now();
    this.reportCount++;
    this.endCount += ends.length;
    for (const [ticket, end, runMs] of ends) this.finish(ticket, end, runMs);
    if (this.isIdle) this.attached?.setLiveness(idleLiveness);
    this.owner.onLoad();
  }

  private finish(ticket: RunTicket, end: RunEnd, runMs: number): void {
    const run = this.outstanding.get(ticket);
    if (run === undefined) return;
    this.outstanding.delete(ticket);
    this.pendingWithdrawals.delete(ticket);
    this.outstandingDemand = changeDemand(
      this.outstandingDemand,
      run.demand,
      -1,
    );
    this.owner.onEnd(this.target, run, end, runMs);
  }

  /** Runs lose their permission without a connection, so all have ended after `runLossMs`. */
  private scheduleLoss(): void {
    if (this.outstanding.size === 0 || this.lossTimer !== undefined) return;
    const now = this.owner.clock.now();
    const dueMs = Math.max(0, this.permittedAt + runLossMs - now);
    this.lossTimer = setTimeout(() => {
      this.lossTimer = undefined;
      this.loseAll('its runner was out of reach for longer than its leases');
    }, dueMs);
  }

  private loseAll(detail: string): void {
    if (this.outstanding.size === 0) return;
    this.owner.log.warn(
      {
        event: 'runs-lost',
        target: this.target,
        runs: this.outstanding.size,
        detail,
      },
      'runs ended without a reported result',
    );
    // The runner may have kept the runs on a connection that is still attaching. Closing it ensures that they get no permission there.
    if (this.peer !== this.attached) this.peer?.close(detail);
    for (const ticket of [...this.outstanding.keys()]) {
      this.finish(ticket, 'lapsed', 0);
    }
  }

  private pause(ms: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, ms);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}

function changeDemand(
  sum: ResourceRequest,
  change: ResourceRequest,
  sign: 1 | -1,
): ResourceRequest {
  return {
    cpuMillis: sum.cpuMillis + sign * change.cpuMillis,
    memoryMb: sum.memoryMb + sign * change.memoryMb,
    accelerators: sum.accelerators + sign * change.accelerators,
  };
}
