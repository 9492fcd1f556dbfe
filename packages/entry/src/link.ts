import {
  type Clock,
  computeDeadline,
  failUnreachable,
  type Epoch,
  type EntryId,
  type TargetInfo,
  type TaskRef,
  type TaskStanding,
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
import {fetchFenced, openSession, queryTasks} from './agent-requests.js';
import {SentTasks, type TaskEnd} from './sent-tasks.js';

/** What a link needs of the entry that owns it. */
export interface LinkOwner {
  readonly entry: EntryId;
  readonly clock: Clock;
  readonly log: Logger;
  readonly liveness?: Liveness;
  /** The epoch that the entry holds, or undefined while it holds none. */
  readonly getEpoch: () => Epoch | undefined;
  /** Numbers the connections of this process, upwards. */
  readonly nextConnection: () => number;
  /** Tasks can be sent; the agent welcomed this entry with so many slots in all. */
  readonly onOpened: (link: AgentLink, slots: number) => void;
  /** Granted slots are void and nothing can be sent. */
  readonly onClosed: (link: AgentLink) => void;
  readonly onGranted: (link: AgentLink, slots: number) => void;
  /** The agent asks for idle slots. */
  readonly onRecalled: (link: AgentLink, slots: number) => void;
  /** A task of an ended epoch, now this entry's as the heir, has ended. */
  readonly onStray: (ref: TaskRef, end: TaskEnd) => void;
}

const dialTimeoutMs = 2000;
const firstBackoffMs = 20;
const maxBackoffMs = 1000;

/**
 * The entry's side of one agent: keeps a connection open, holds the slots that
 * the agent granted, and accounts for every task sent until its fate is known.
 */
export class AgentLink implements AsyncDisposable {
  /** Messages sent by kind, for the wasted-message score. */
  readonly sentMessages = {start: 0, reserve: 0, release: 0, demand: 0};

  private peer: Peer | undefined;
  private ready = false;
  private early = 0;
  private stopped = false;
  private inView = true;
  private wakeBackoff = () => {};
  private readonly sent = new SentTasks();
  private outgoing: StartTask[] = [];
  private waiting = 0;
  private readonly opened: (() => void)[] = [];
  private readonly loop: Promise<void>;

  constructor(
    /** The target as last announced. */
    public target: TargetInfo,
    private readonly owner: LinkOwner,
  ) {
    this.loop = this.keepConnected();
  }

  /** True while tasks can be sent. */
  get isReady(): boolean {
    return this.ready;
  }

  /** Tasks sent whose fate is not known yet. */
  get inFlight(): number {
    return this.sent.size;
  }

  /** True once the target left the view and nothing is owed to it. */
  get isSpent(): boolean {
    return !this.inView && this.sent.size === 0;
  }

  /** Sends a task and waits for its fate. A fate of `not-run` proves that it did not start. */
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

  /** Waits for the fate of a task that was sent, here or by an ended epoch. */
  adopt(ref: TaskRef): Promise<TaskEnd> {
    const end = this.sent.add(ref);
    this.watchPeer();
    return end;
  }

  /** Closes the connection; it opens again at once, with no slots. */
  reconnect(): void {
    this.peer?.close('the placement policy changed');
    this.wakeBackoff();
  }

  /** Gives up the tasks of an epoch that is over; its heir is told their fates. */
  relinquish(): void {
    this.loseTasks('the epoch of the entry is over');
    this.peer?.close('the epoch of the entry is over');
    this.wakeBackoff();
  }

  /** Sets what the next start message tells of the tasks that still wait. */
  setWaiting(waiting: number): void {
    this.waiting = waiting;
  }

  /** Asks for slots as they fall free. */
  reserve(slots: number): void {
    if (!this.ready || slots === 0) return;
    this.sentMessages.reserve++;
    this.peer?.notify('agent.reserve', {slots});
    this.ensureAlive();
  }

  /** Gives back granted slots, or withdraws reservations. */
  release(slots: number): void {
    if (!this.ready || slots === 0) return;
    this.sentMessages.release++;
    this.peer?.notify('agent.release', {slots});
  }

  /** Tells the agent how many tasks wait here. */
  reportDemand(waiting: number): void {
    if (!this.ready) return;
    this.sentMessages.demand++;
    this.peer?.notify('agent.demand', {waiting});
    this.ensureAlive();
  }

  /** Asks the agent to stop tasks or never to start them. */
  cancel(tasks: readonly TaskRef[]): void {
    if (tasks.length === 0) return;
    this.peer?.notify('agent.cancel', {
      tasks: tasks.map(({job, task}) => ({job, task})),
    });
  }

  /**
   * Bars epochs at the agent and hands over what they started, page by page;
   * after a lost connection it begins anew. Returns the last page, or undefined
   * when the agent left the view before that.
   */
  fence(
    epochs: readonly Epoch[],
    heir: Epoch,
    take: (page: FenceResult) => void,
  ): Promise<FenceResult | undefined> {
    return this.sent.takeOver(async () => {
      while (this.ready || (await this.waitOpen())) {
        const peer = this.peer!;
        const {clock} = this.owner;
        const last = await fetchFenced(peer, {epochs, heir}, clock, take);
        if (last !== undefined) return last;
        if (!this.inView || this.stopped) return undefined;
        peer.close('fence was not answered');
      }
      return undefined;
    });
  }

  /** Takes in a newer announcement of the same target. */
  update(target: TargetInfo): void {
    const restarted = target.incarnation !== this.target.incarnation;
    this.target = target;
    this.inView = true;
    if (!restarted) return;
    this.loseTasks('the agent restarted');
    this.peer?.close('the agent restarted');
    this.wakeBackoff();
  }

  /** The target left the view. What is still connected may finish. */
  retire(): void {
    this.inView = false;
    if (!this.ready) this.loseTasks('the agent is gone');
    this.closeSpent();
    this.wakeBackoff();
    this.wakeWaiters();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped = true;
    this.wakeBackoff();
    this.wakeWaiters();
    await this.peer?.[Symbol.asyncDispose]();
    await this.loop;
  }

  private async keepConnected(): Promise<void> {
    let backoffMs = firstBackoffMs;
    while (!this.stopped && !this.isSpent) {
      const epoch = this.owner.getEpoch();
      if (epoch !== undefined && (await this.connect(epoch))) {
        backoffMs = firstBackoffMs;
      }
      if (!this.inView) this.loseTasks('the agent is gone');
      if (this.stopped || this.isSpent) return;
      await this.pause(backoffMs);
      backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
    }
  }

  /** Opens one connection and returns once it is over; true when it had opened. */
  private async connect(epoch: Epoch): Promise<boolean> {
    const dialled = await dialPeer(
      this.target.address,
      {
        'entry.grant': ({slots}, peer) => this.receiveSlots(peer, slots),
        'entry.recall': ({slots}, peer) => {
          if (peer === this.peer && this.ready) {
            this.owner.onRecalled(this, slots);
          }
        },
        'entry.report': (report, peer) => this.receiveReport(peer, report),
      },
      this.getDeadline(dialTimeoutMs),
      this.owner.liveness,
    );
    const peer = dialled.toMaybe().extractNullable();
    if (peer === null) return false;
    this.peer = peer;
    this.early = 0;
    const slots = await this.joinAgent(peer, epoch);
    if (slots === undefined) {
      peer.close('the agent did not welcome this entry');
      return false;
    }
    this.ready = true;
    this.watchPeer();
    this.wakeWaiters();
    this.owner.onOpened(this, slots);
    if (this.early > 0) this.owner.onGranted(this, this.early);
    const cause = await peer.closed;
    this.ready = false;
    this.owner.log.debug(
      {event: 'link-closed', target: this.target.target, cause},
      'connection to an agent closed',
    );
    this.owner.onClosed(this);
    return true;
  }

  /** Returns how many slots the agent has in all, or undefined when the session did not open. */
  private async joinAgent(
    peer: Peer,
    epoch: Epoch,
  ): Promise<number | undefined> {
    const {entry, clock} = this.owner;
    const connection = this.owner.nextConnection();
    const hello = {entry, epoch, connection};
    const welcome = await openSession(peer, hello, clock);
    if (welcome === undefined) return undefined;
    if (welcome.target.target !== this.target.target) return undefined;
    if (welcome.target.incarnation !== this.target.incarnation) {
      this.update(welcome.target);
    }
    const settled = await this.settleSent(peer);
    return settled ? welcome.slots : undefined;
  }

  /** Asks about every task sent on an earlier connection. */
  private async settleSent(peer: Peer): Promise<boolean> {
    const refs = this.sent.list();
    if (refs.length === 0) return peer.isOpen;
    const standings = await queryTasks(peer, refs, this.owner.clock);
    if (standings === undefined) return false;
    refs.forEach((ref, i) => this.settle(ref, standings[i]!));
    return peer.isOpen;
  }

  private settle(ref: TaskRef, standing: TaskStanding): void {
    switch (standing.kind) {
      case 'running':
        return;
      case 'ended':
        this.finish(ref, {fate: standing.fate, runMs: 0});
        return;
      case 'never-started':
        this.finish(ref, {
          fate: {kind: 'not-run', reason: 'fenced'},
          runMs: 0,
        });
        return;
      default:
        failUnreachable(standing);
    }
  }

  /** Slots granted before the session is open count once it is. */
  private receiveSlots(peer: Peer, slots: number): void {
    if (peer !== this.peer || !this.inView || slots === 0) return;
    if (this.ready) this.owner.onGranted(this, slots);
    else this.early += slots;
  }

  private receiveReport(peer: Peer, report: ReportParams): void {
    for (const {job, task, fate, runMs} of report.tasks) {
      this.finish({job, task}, {fate, runMs});
    }
    this.receiveSlots(peer, report.slots);
  }

  private finish(ref: TaskRef, end: TaskEnd): void {
    if (!this.sent.finish(ref, end)) {
      this.owner.onStray(ref, end);
      return;
    }
    this.watchPeer();
    this.closeSpent();
  }

  private loseTasks(detail: string): void {
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

  /** Gives the agent its idle slots back once the target is gone and nothing is awaited. */
  private closeSpent(): void {
    if (this.isSpent) this.peer?.close('the target left the view');
  }

  /** Silence is noticed soon while a fate is awaited; idle links cost next to nothing. */
  private watchPeer(): void {
    const isIdle = this.sent.size === 0;
    const {liveness = defaultLiveness} = this.owner;
    this.peer?.setLiveness(isIdle ? idleLiveness : liveness);
  }

  /** Slots that were asked for may be all that tasks wait for. */
  private ensureAlive(): void {
    this.peer?.ensureAlive(this.owner.liveness ?? defaultLiveness);
  }

  private waitOpen(): Promise<boolean> {
    if (this.stopped || !this.inView) return Promise.resolve(false);
    return new Promise(resolve => {
      this.opened.push(() => resolve(this.ready));
    });
  }

  private wakeWaiters(): void {
    for (const wake of this.opened.splice(0)) wake();
  }

  private pause(ms: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, ms);
      this.wakeBackoff = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private getDeadline(ms: number): number {
    return computeDeadline(this.owner.clock.now(), ms);
  }
}
