import {
  type Clock,
  type Instant,
  type JobId,
  type RoomDemand,
  type RunEnd,
  type RunRef,
  type TargetId,
  type TargetInfo,
} from '#model';
import {
  dialPeer,
  dialTimeoutMs,
  type Liveness,
  type Peer,
  type RunBatch,
  type RunEndRow,
  type RunTicket,
  type TargetLoad,
} from '#protocol';
import {type RoomTarget, agentStartMs} from '#policy';
import {executorLeaseMs, idleReportMs, permissionMs} from '#runner';
import type {Logger} from '#telemetry';

/** A run that a target was told of and that is not known to be over. */
export interface OutstandingRun {
  readonly ticket: RunTicket;
  readonly ref: RunRef;
  readonly demand: RoomDemand;
  readonly placedAt: Instant;
  /** The target's slowness when the run was placed there. */
  readonly slownessThen: number;
  /** Set once it is to end so that another target can run its task. */
  isMoving: boolean;
}

export interface LinkOwner {
  readonly clock: Clock;
  readonly log: Logger;
  readonly dispatcher: string;
  /** The target that the dispatcher stands beside; undefined for one that stands apart. */
  readonly beside?: TargetId;
  readonly life: number;
  readonly failureDomain: string;
  /** A run is over; nothing of it is left at the target. */
  readonly onEnd: (
    target: TargetId,
    run: OutstandingRun,
    end: RunEnd,
    runMs: number,
  ) => void;
  /** Room or readiness has changed. */
  readonly onLoad: () => void;
}

/** Between hosts of a site, while runs are awaited: silence of a second is a fault. */
const busyLiveness: Liveness = {probeAfterMs: 500, silenceLimitMs: 1200};
/** The same while none are: two reports of an idle target may be missed. */
const idleLiveness: Liveness = {
  probeAfterMs: 2.5 * idleReportMs,
  silenceLimitMs: 3 * idleReportMs,
};
/** A target that was to report and did not gets no runs, in ms of silence. */
const maxSilenceMs = 1.5 * idleReportMs;
const attachTimeoutMs = 600;
const firstPauseMs = 30;
const maxPauseMs = 1000;
/** A target out of touch for longer than this is not waited for, in ms: a reset connection is opened anew within a tenth of it. */
const returnLimitMs = 1000;
/** Added to what two hosts' clocks may drift apart over a lease, and to a stop, in ms. */
const marginMs = 130;
/** After the last permission, a target's runs are over: stopped by its runner or lapsed at its executor. */
const lossMs = permissionMs + executorLeaseMs + marginMs;

/** A dispatcher's connection to the runner of one target, and its runs there. */
export class RunnerLink implements AsyncDisposable {
  /** Reports taken, the ends in them, and those that told a load only. */
  reportCount = 0;
  endCount = 0;
  loadOnlyCount = 0;
  private readonly outstanding = new Map<RunTicket, OutstandingRun>();
  /** The latest connection, which may still be attaching. */
  private peer: Peer | undefined;
  /** The connection on which both ends agree about the runs. */
  private attached: Peer | undefined;
  private load: TargetLoad | undefined;
  /** Runs that are to end, and whether only those that have not begun. */
  private readonly unwanted = new Map<RunTicket, boolean>();
  /** Runs that the agent had to begin after the latest placing, and when that was. */
  private startsAhead = 0;
  private placedAt: Instant = -Infinity;
  /** When the load was told. */
  private toldAt: Instant = 0;
  private own: RoomDemand = {cpuMillis: 0, memoryMb: 0, accelerators: 0};
  /** When this end last let the target's runs go on. */
  private permittedAt: Instant = -Infinity;
  /** Since when it is out of touch; undefined while it is connected. */
  private missingSince: Instant | undefined;
  private stopped = false;
  private wake: () => void = () => {};
  private lossTimer: NodeJS.Timeout | undefined;
  private readonly loop: Promise<void>;

  constructor(
    private info: TargetInfo,
    private readonly owner: LinkOwner,
  ) {
    this.missingSince = owner.clock.now();
    this.loop = this.keepConnected();
  }

  get target(): TargetId {
    return this.info.target;
  }

  get service(): string {
    return this.info.service;
  }

  /** True when runs may be placed here. */
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
   * True for a moment after the target came into view or went out of touch, and while it is silent: it
   * may be back at once, or this process stood still and has not read what it sent.
   */
  get isReturning(): boolean {
    const {attached, missingSince, owner, info} = this;
    if (info.leaving) return false;
    if (missingSince === undefined) {
      return attached !== undefined && attached.silentMs >= maxSilenceMs;
    }
    return owner.clock.now() < missingSince + returnLimitMs;
  }

  /** What was sent and the system has not yet taken, in bytes. */
  get unsentBytes(): number {
    return this.attached?.unsentBytes ?? 0;
  }

  /** True when nothing at the target is left to hear of. */
  get isIdle(): boolean {
    return this.outstanding.size === 0;
  }

  /** Lists the runs that are not known to be over. */
  listRuns(): readonly OutstandingRun[] {
    return [...this.outstanding.values()];
  }

  /** The target's run time over callers' estimates, as it was last told. */
  get slowness(): number {
    return this.load?.slowness ?? 1;
  }

  /** Estimates how many of the runs placed here the agent has still to begin. */
  private countStartsAhead(): number {
    const begun = (this.owner.clock.now() - this.placedAt) / agentStartMs;
    return Math.max(0, this.startsAhead - begun);
  }

  /** Follows what control says of the target. */
  update(info: TargetInfo): void {
    this.info = info;
    this.owner.onLoad();
  }

  /** Describes the target for placement. */
  describe(): RoomTarget | undefined {
    const {capacity, place} = this.info;
    const {load, own} = this;
    if (capacity.kind !== 'room' || load === undefined) return undefined;
    return {
      target: this.target,
      room: capacity,
      used: {
        cpuMillis: load.cpuMillis + own.cpuMillis,
        memoryMb: load.memoryMb + own.memoryMb,
        accelerators: load.accelerators + own.accelerators,
      },
      slowness: load.slowness,
      failing: load.failing,
      pendingStarts: this.countStartsAhead(),
      isInSameDomain: place.failureDomain === this.owner.failureDomain,
      ...(load.waitingRankMs !== undefined && {
        waitingRank: this.toldAt + load.waitingRankMs,
      }),
    };
  }

  /** Tells the target to run tasks. They count as placed from now on. */
  place(batch: RunBatch, runs: ReadonlyMap<RunTicket, OutstandingRun>): void {
    this.startsAhead = this.countStartsAhead() + runs.size;
    this.placedAt = this.owner.clock.now();
    for (const [ticket, run] of runs) {
      this.outstanding.set(ticket, run);
      this.own = changeDemand(this.own, run.demand, 1);
    }
    this.attached!.notify('runner.place', {batches: [batch]});
    this.attached!.setLiveness(busyLiveness);
  }

  /**
   * Asks the target to end runs, or those that have not begun; their ends are told as any others.
   * Out of touch, it is asked as soon as it is attached again: it knows no runs on a connection that
   * is attaching.
   */
  withdraw(tickets: readonly RunTicket[], waitingOnly = false): void {
    if (tickets.length === 0) return;
    for (const ticket of tickets) this.unwanted.set(ticket, waitingOnly);
    this.attached?.notify('runner.withdraw', {tickets, waitingOnly});
  }

  /** Ends what other dispatchers run of a job; false when the target does not say so in time. */
  async clear(job: JobId, deadline: Instant): Promise<boolean> {
    const reply = await this.peer?.request('runner.clear', {job}, deadline);
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
    let pauseMs = firstPauseMs;
    while (!this.stopped) {
      const peer = await this.connect();
      if (peer !== undefined) {
        pauseMs = firstPauseMs;
        const cause = await peer.closed;
        this.owner.log.info(
          {event: 'runner-lost', target: this.target, cause},
          'the connection to a runner has ended',
        );
        this.missingSince = this.owner.clock.now();
        this.scheduleLoss();
        this.owner.onLoad();
      }
      if (this.stopped) return;
      await this.pause(pauseMs);
      pauseMs = Math.min(maxPauseMs, pauseMs * 2);
    }
  }

  private async connect(): Promise<Peer | undefined> {
    const {clock, dispatcher, life} = this.owner;
    const dialled = await dialPeer(
      this.info.address,
      {
        'dispatcher.report': ({ends, load, question}, peer) => {
          if (question !== undefined) this.grantPermission(question, peer);
          else if (ends.length === 0) this.loadOnlyCount++;
          if (peer === this.peer) this.take(ends, load);
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
      Right: ({ended, load}) => {
        clearTimeout(this.lossTimer);
        this.lossTimer = undefined;
        this.missingSince = undefined;
        this.attached = peer;
        this.take(ended, load);
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
      const tickets = [...this.unwanted]
        .filter(([, isWaitingOnly]) => isWaitingOnly === waitingOnly)
        .map(([ticket]) => ticket);
      if (tickets.length === 0) continue;
      peer.notify('runner.withdraw', {tickets, waitingOnly});
    }
  }

  /** A question on a connection that is still attaching gets no answer: the runner asks again. */
  private grantPermission(question: number, peer: Peer): void {
    if (peer !== this.attached) return;
    this.permittedAt = this.owner.clock.now();
    peer.notify('runner.permit', {question});
  }

  private take(ends: readonly RunEndRow[], load: TargetLoad): void {
    this.load = load;
    this.toldAt = this.owner.clock.now();
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
    this.unwanted.delete(ticket);
    this.own = changeDemand(this.own, run.demand, -1);
    this.owner.onEnd(this.target, run, end, runMs);
  }

  /** Without a connection no run is permitted any more; after a while none is left. */
  private scheduleLoss(): void {
    if (this.outstanding.size === 0 || this.lossTimer !== undefined) return;
    const now = this.owner.clock.now();
    const dueMs = Math.max(0, this.permittedAt + lossMs - now);
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
      'runs are over without an end',
    );
    // The runner may have kept them on a connection that is attaching: it must get no permission there.
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
  own: RoomDemand,
  by: RoomDemand,
  sign: 1 | -1,
): RoomDemand {
  return {
    cpuMillis: own.cpuMillis + sign * by.cpuMillis,
    memoryMb: own.memoryMb + sign * by.memoryMb,
    accelerators: own.accelerators + sign * by.accelerators,
  };
}
