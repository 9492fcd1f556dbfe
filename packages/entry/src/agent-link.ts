import {
  type Clock,
  computeDeadline,
  failUnreachable,
  type Epoch,
  type EntryId,
  type TargetInfo,
  type TaskRef,
  type TaskStatus,
} from '#model';
import {
  defaultLiveness,
  dialPeer,
  type FenceResult,
  idleLiveness,
  type Liveness,
  type Peer,
  type ReportParams,
  type StartTask,
} from '#protocol';
import type {Logger} from '#telemetry';
import {fetchFencedTasks, openSession, queryTasks} from './agent-requests.js';
import {SentTasks, type TaskEnd} from './sent-tasks.js';

/** What a link needs from the entry that owns it. */
export interface AgentLinkOwner {
  readonly entry: EntryId;
  readonly clock: Clock;
  readonly log: Logger;
  readonly liveness?: Liveness;
  /** The entry's current epoch, if any. */
  readonly getEpoch: () => Epoch | undefined;
  /** Returns increasing numbers for the connections of this process. */
  readonly nextConnection: () => number;
  /** The session is open and tasks can be sent; `slots` is the agent's total. */
  readonly onOpened: (link: AgentLink, slots: number) => void;
  /** The connection has closed: granted slots are void and no task can be sent. */
  readonly onClosed: (link: AgentLink) => void;
  readonly onGranted: (link: AgentLink, slots: number) => void;
  /** The agent asks for idle slots back. */
  readonly onRecalled: (link: AgentLink, slots: number) => void;
  /**
   * The agent reported the end of a task that this link does not await, such as one of an ended
   * epoch.
   */
  readonly onUnawaitedEnd: (ref: TaskRef, end: TaskEnd) => void;
}

const dialTimeoutMs = 2000;
const firstBackoffMs = 20;
const maxBackoffMs = 1000;

/**
 * The entry's connection to one agent: reconnects when it is lost, passes on the
 * slots that the agent grants, and tracks every sent task until its outcome is
 * known.
 */
export class AgentLink implements AsyncDisposable {
  /** Number of messages sent, by kind. */
  readonly sentMessages = {start: 0, reserve: 0, release: 0, demand: 0};

  private peer: Peer | undefined;
  private ready = false;
  private earlySlots = 0;
  private earlyRecalls = 0;
  private stopped = false;
  private inView = true;
  private endBackoff = () => {};
  private readonly sent = new SentTasks();
  private outgoing: StartTask[] = [];
  private waiting = 0;
  private readonly waiters: (() => void)[] = [];
  private readonly loop: Promise<void>;

  constructor(
    /** The latest announcement of the target. */
    public target: TargetInfo,
    private readonly owner: AgentLinkOwner,
  ) {
    this.loop = this.keepConnected();
  }

  get isReady(): boolean {
    return this.ready;
  }

  /** Number of sent tasks whose outcome is not known yet. */
  get inFlight(): number {
    return this.sent.size;
  }

  /** True once the target has left the view and no task's outcome is awaited. */
  get isFinished(): boolean {
    return !this.inView && this.sent.size === 0;
  }

  /** Sends a task and waits for its outcome. `not-run` proves that the task did not start. */
  start(task: StartTask): Promise<TaskEnd> {
    if (!this.ready) {
      return Promise.resolve({
        fate: {kind: 'not-run', reason: 'no-slot'},
        runMs: 0,
      });
    }
    if (this.outgoing.length === 0) setImmediate(() => this.flush());
    this.outgoing.push(task);
    return this.adopt(task);
  }

  /** Waits for the outcome of a task that this entry or an ended epoch sent. */
  adopt(ref: TaskRef): Promise<TaskEnd> {
    const end = this.sent.add(ref);
    this.updateLiveness();
    return end;
  }

  /** Closes the connection and reconnects at once; granted slots are lost. */
  reconnect(): void {
    this.peer?.close('reconnecting to reset the granted slots');
    this.endBackoff();
  }

  /** Gives up the tasks of an ended epoch; the successor epoch learns their outcomes. */
  relinquish(): void {
    this.endTasksAsUnknown('the epoch of the entry is over');
    this.peer?.close('the epoch of the entry is over');
    this.endBackoff();
  }

  /** Sets the number of waiting tasks that the next start message reports. */
  setWaiting(waiting: number): void {
    this.waiting = waiting;
  }

  /** Reserves slots, which the agent grants as they become free. */
  reserve(slots: number): void {
    if (!this.ready || slots === 0) return;
    this.sentMessages.reserve++;
    this.peer?.notify('agent.reserve', {slots});
    this.ensureAlive();
  }

  /** Returns granted slots or withdraws reservations. */
  release(slots: number): void {
    if (!this.ready || slots === 0) return;
    this.sentMessages.release++;
    this.peer?.notify('agent.release', {slots});
  }

  /** Reports to the agent how many tasks wait at this entry. */
  reportDemand(waiting: number): void {
    if (!this.ready) return;
    this.sentMessages.demand++;
    this.peer?.notify('agent.demand', {waiting});
    this.ensureAlive();
  }

  /** Asks the agent to stop tasks, or not to start them. */
  cancel(tasks: readonly TaskRef[]): void {
    if (tasks.length === 0) return;
    this.peer?.notify('agent.cancel', {
      tasks: tasks.map(({job, task}) => ({job, task})),
    });
  }

  /**
   * Fences epochs at the agent and passes the tasks that they started to `onPage`,
   * page by page; starts over after a lost connection. Returns the last page, or
   * undefined when the agent left the view before that.
   */
  fence(
    epochs: readonly Epoch[],
    successor: Epoch,
    onPage: (page: FenceResult) => void,
  ): Promise<FenceResult | undefined> {
    return this.sent.runTakeover(async () => {
      while (this.ready || (await this.waitOpen())) {
        const peer = this.peer!;
        const {clock} = this.owner;
        const last = await fetchFencedTasks(
          peer,
          {epochs, heir: successor},
          clock,
          onPage,
        );
        if (last !== undefined) return last;
        if (!this.inView || this.stopped) return undefined;
        peer.close('fence was not answered');
      }
      return undefined;
    });
  }

  /** Applies a newer announcement of the same target. */
  update(target: TargetInfo): void {
    const restarted = target.incarnation !== this.target.incarnation;
    this.target = target;
    this.inView = true;
    if (!restarted) return;
    this.endTasksAsUnknown('the agent restarted');
    this.peer?.close('the agent restarted');
    this.endBackoff();
  }

  /** Handles the target's removal from the view. Tasks on an open connection may finish. */
  retire(): void {
    this.inView = false;
    if (!this.ready) this.endTasksAsUnknown('the agent is gone');
    this.closeIfFinished();
    this.endBackoff();
    this.wakeWaiters();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped = true;
    this.endBackoff();
    this.wakeWaiters();
    await this.peer?.[Symbol.asyncDispose]();
    await this.loop;
  }

  private async keepConnected(): Promise<void> {
    let backoffMs = firstBackoffMs;
    while (!this.stopped && !this.isFinished) {
      const epoch = this.owner.getEpoch();
      if (epoch !== undefined && (await this.connect(epoch))) {
        backoffMs = firstBackoffMs;
      }
      if (!this.inView) this.endTasksAsUnknown('the agent is gone');
      if (this.stopped || this.isFinished) return;
      await this.pause(backoffMs);
      backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
    }
  }

  /** Opens one connection and resolves once it has closed; true when a session was opened. */
  private async connect(epoch: Epoch): Promise<boolean> {
    const dialled = await dialPeer(
      this.target.address,
      {
        'entry.grant': ({slots}, peer) => this.receiveSlots(peer, slots),
        'entry.recall': ({slots}, peer) => this.receiveRecall(peer, slots),
        'entry.report': (report, peer) => this.receiveReport(peer, report),
      },
      this.getDeadline(dialTimeoutMs),
      this.owner.liveness,
    );
    const peer = dialled.toMaybe().extractNullable();
    if (peer === null) return false;
    this.peer = peer;
    this.earlySlots = 0;
    this.earlyRecalls = 0;
    const slots = await this.startSession(peer, epoch);
    if (slots === undefined) {
      peer.close('no session could be opened with the agent');
      return false;
    }
    this.ready = true;
    this.updateLiveness();
    this.wakeWaiters();
    this.owner.onOpened(this, slots);
    if (this.earlySlots > 0) this.owner.onGranted(this, this.earlySlots);
    if (this.earlyRecalls > 0) this.owner.onRecalled(this, this.earlyRecalls);
    const cause = await peer.closed;
    this.ready = false;
    this.owner.log.debug(
      {event: 'link-closed', target: this.target.target, cause},
      'connection to an agent closed',
    );
    this.owner.onClosed(this);
    return true;
  }

  /** Returns the agent's total number of slots, or undefined when no session could be opened. */
  private async startSession(
    peer: Peer,
    epoch: Epoch,
  ): Promise<number | undefined> {
    const {entry, clock} = this.owner;
    const connection = this.owner.nextConnection();
    const hello = {entry, epoch, connection};
    const welcome = await openSession(peer, hello, clock);
    if (welcome === undefined) return undefined;
    if (welcome.target.target !== this.target.target) return undefined;
    if (welcome.target.service !== this.target.service) {
      // The link is in the pool of the former service until a view replaces it.
      this.endTasksAsUnknown('the agent restarted for another service');
      return undefined;
    }
    if (welcome.target.incarnation !== this.target.incarnation) {
      this.update(welcome.target);
    }
    const resolved = await this.resolveSentTasks(peer);
    return resolved ? welcome.slots : undefined;
  }

  /** Queries the outcome of every task sent on an earlier connection. */
  private async resolveSentTasks(peer: Peer): Promise<boolean> {
    const refs = this.sent.list();
    if (refs.length === 0) return peer.isOpen;
    const statuses = await queryTasks(peer, refs, this.owner.clock);
    if (statuses === undefined) return false;
    refs.forEach((ref, i) => this.resolveTask(ref, statuses[i]!));
    return peer.isOpen;
  }

  private resolveTask(ref: TaskRef, status: TaskStatus): void {
    switch (status.kind) {
      case 'running':
        return;
      case 'ended':
        this.finish(ref, {fate: status.fate, runMs: 0});
        return;
      case 'never-started':
        this.finish(ref, {
          fate: {kind: 'not-run', reason: 'fenced'},
          runMs: 0,
        });
        return;
      default:
        failUnreachable(status);
    }
  }

  /** Records granted slots. Those granted before the session is open count once it is. */
  private receiveSlots(peer: Peer, slots: number): void {
    if (peer !== this.peer || !this.inView || slots === 0) return;
    if (this.ready) this.owner.onGranted(this, slots);
    else this.earlySlots += slots;
  }

  /** Passes on a recall. One that comes before the session is open follows the early grants. */
  private receiveRecall(peer: Peer, slots: number): void {
    if (peer !== this.peer) return;
    if (this.ready) this.owner.onRecalled(this, slots);
    else this.earlyRecalls += slots;
  }

  private receiveReport(peer: Peer, report: ReportParams): void {
    for (const {job, task, fate, runMs} of report.tasks) {
      this.finish({job, task}, {fate, runMs});
    }
    this.receiveSlots(peer, report.slots);
  }

  private finish(ref: TaskRef, end: TaskEnd): void {
    if (!this.sent.finish(ref, end)) {
      this.owner.onUnawaitedEnd(ref, end);
      return;
    }
    this.updateLiveness();
    this.closeIfFinished();
  }

  private endTasksAsUnknown(detail: string): void {
    for (const ref of this.sent.list()) {
      this.finish(ref, {fate: {kind: 'unknown', detail}, runMs: 0});
    }
  }

  private flush(): void {
    const tasks = this.outgoing;
    this.outgoing = [];
    if (tasks.length === 0 || !this.ready) return;
    this.sentMessages.start++;
    this.peer?.notify('agent.start', {tasks, waiting: this.waiting});
  }

  /**
   * Closes the connection, which returns idle slots to the agent, once the target has left the view
   * and no outcome is awaited.
   */
  private closeIfFinished(): void {
    if (this.isFinished) this.peer?.close('the target left the view');
  }

  /**
   * Detects a silent peer sooner while an outcome is awaited; an idle link uses settings that cost
   * next to nothing.
   */
  private updateLiveness(): void {
    const isIdle = this.sent.size === 0;
    const {liveness = defaultLiveness} = this.owner;
    this.peer?.setLiveness(isIdle ? idleLiveness : liveness);
  }

  /**
   * Checks that the peer is alive after a request for slots, because all waiting tasks may depend
   * on these slots.
   */
  private ensureAlive(): void {
    this.peer?.ensureAlive(this.owner.liveness ?? defaultLiveness);
  }

  private waitOpen(): Promise<boolean> {
    if (this.stopped || !this.inView) return Promise.resolve(false);
    return new Promise(resolve => {
      this.waiters.push(() => resolve(this.ready));
    });
  }

  private wakeWaiters(): void {
    for (const wake of this.waiters.splice(0)) wake();
  }

  private pause(ms: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, ms);
      this.endBackoff = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private getDeadline(ms: number): number {
    return computeDeadline(this.owner.clock.now(), ms);
  }
}
