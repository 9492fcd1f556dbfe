import type {
  Clock,
  Configuration,
  EntryId,
  Epoch,
  ServiceName,
  Submission,
  TargetId,
  TargetInfo,
  TeamName,
} from '#model';
import type {View} from '#membership';
import type {PlacementEvent, RandomSource} from '#policy';
import type {ViewChange} from '#protocol';
import type {Logger} from '#telemetry';
import type {Execution} from './execution.js';
import {AgentLink} from './agent-link.js';
import {Pool} from './pool.js';
import type {TaskEnd} from './sent-tasks.js';

/** What the service pools need from the entry. */
export interface ServicePoolsOwner {
  readonly entry: EntryId;
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: RandomSource;
  readonly getEpoch: () => Epoch | undefined;
  readonly getStartingEpoch: () => Epoch | undefined;
  readonly onTaskEnd: (
    execution: Execution,
    end: TaskEnd,
    queuedMs: number,
  ) => void;
}

/** The links to the agents of all targets in the view, grouped into one pool per service. */
export class ServicePools implements AsyncDisposable {
  private readonly links = new Map<TargetId, AgentLink>();
  private readonly pools = new Map<ServiceName, Pool>();
  /** Links to targets of evacuated failure domains. They are in no pool; tasks sent over them run to their ends. */
  private readonly evacuatedLinks = new Set<AgentLink>();
  private connections = 0;

  constructor(
    private configuration: Configuration,
    private readonly owner: ServicePoolsOwner,
  ) {}

  listLinks(): readonly AgentLink[] {
    return [...this.links.values()];
  }

  /** Describes each pool for the status page. */
  describe(): readonly unknown[] {
    return [...this.pools.values()].map(pool => ({
      service: pool.config.name,
      waiting: pool.waiting,
      running: pool.running,
      ejected: pool.countEjected(),
      ...pool.getCounts(),
    }));
  }

  /** Counts a job's tasks as waiting in the pool of its service until disposal. */
  trackPendingAdmission({service, team, tasks}: Submission): Disposable {
    const pool = this.getPool(service);
    return pool?.addPending(team, tasks.length) ?? {[Symbol.dispose]: () => {}};
  }

  /** Queues the waiting tasks of a job. */
  start(execution: Execution): void {
    const {submission, tasks} = execution.job;
    const waiting = tasks.flatMap((state, task) =>
      state.kind === 'waiting' ? [task] : [],
    );
    this.getPool(submission.service)?.add(execution, waiting);
  }

  /** Removes a job's waiting tasks from the queue and cancels those sent to targets. */
  stop(execution: Execution): void {
    const {tasks, submission} = execution.job;
    this.pools.get(submission.service)?.discard(
      submission.job,
      tasks.map((_, task) => task),
    );
    const byTarget = new Map<TargetId, number[]>();
    tasks.forEach((state, task) => {
      if (state.kind !== 'sent') return;
      const same = byTarget.get(state.target) ?? [];
      same.push(task);
      byTarget.set(state.target, same);
    });
    for (const [target, running] of byTarget) {
      this.links
        .get(target)
        ?.cancel(running.map(task => ({job: submission.job, task})));
    }
  }

  /** Applies a view; `changes` is undefined when the whole view was replaced. */
  applyView(view: View, changes: readonly ViewChange[] | undefined): void {
    if (changes === undefined) this.applyFullView(view);
    else for (const change of changes) this.applyChange(change);
    for (const link of this.links.values()) {
      const {failureDomain} = link.target.place;
      this.setEvacuated(link, view.evacuated.has(failureDomain));
    }
  }

  /** Applies a configuration. */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    for (const service of configuration.services) {
      this.getPool(service.name)?.configure(service);
    }
  }

  /** Schedules placement in every pool, as tasks may start again. */
  resume(): void {
    for (const pool of this.pools.values()) pool.schedulePlacement();
  }

  /**
   * Gives up the sent tasks because the entry's epoch has ended; they pass to the successor epoch.
   */
  relinquish(): void {
    for (const link of this.links.values()) link.relinquish();
  }

  /**
   * Returns the pool of a service, creating it when needed; undefined when the service is not
   * configured.
   */
  getPool(service: ServiceName): Pool | undefined {
    const known = this.pools.get(service);
    if (known !== undefined) return known;
    const config = this.configuration.services.find(
      ({name}) => name === service,
    );
    if (config === undefined) return undefined;
    const pool = new Pool(config, {
      clock: this.owner.clock,
      random: this.owner.random,
      getStartingEpoch: this.owner.getStartingEpoch,
      getRetentionMs: () => this.configuration.limits.retentionMs,
      getWeight: team => this.getWeight(team),
      onTaskEnd: this.owner.onTaskEnd,
    });
    this.pools.set(service, pool);
    this.fillPool(pool);
    return pool;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const pool of this.pools.values()) pool[Symbol.dispose]();
    await Promise.all(
      this.listLinks().map(link => link[Symbol.asyncDispose]()),
    );
  }

  /**
   * Adds the known targets of the service to a new pool. Their links reconnect, as the agents
   * report their slots on connection.
   */
  private fillPool(pool: Pool): void {
    for (const link of this.links.values()) {
      if (link.target.service !== pool.config.name) continue;
      if (this.evacuatedLinks.has(link)) continue;
      pool.addLink(link);
      link.reconnect();
    }
  }

  private applyFullView(view: View): void {
    for (const target of view.targets.list()) this.putTarget(target);
    for (const id of [...this.links.keys()]) {
      if (view.targets.get(id) === undefined) this.removeTarget(id);
    }
  }

  private applyChange(change: ViewChange): void {
    if (change.kind === 'target-joined') this.putTarget(change.target);
    if (change.kind === 'target-gone') {
      const {target, incarnation} = change.gone;
      const link = this.links.get(target);
      if (link?.target.incarnation === incarnation) this.removeTarget(target);
    }
  }

  private putTarget(target: TargetInfo): void {
    if (target.capacity.kind === 'room') return;
    const known = this.links.get(target.target);
    if (known !== undefined && isSameDestination(known.target, target)) {
      known.update(target);
      return;
    }
    if (known !== undefined) this.removeTarget(target.target);
    const pool = this.getPool(target.service);
    const link = this.openLink(target);
    this.links.set(target.target, link);
    pool?.addLink(link);
  }

  private removeTarget(target: TargetId): void {
    const link = this.links.get(target);
    if (link === undefined) return;
    this.links.delete(target);
    if (!this.evacuatedLinks.delete(link)) {
      this.pools.get(link.target.service)?.removeLink(link);
    }
    link.retire();
  }

  /** Takes a link out of its pool, or adds it again. It reconnects then, as the agent reports its slots on connection. */
  private setEvacuated(link: AgentLink, isEvacuated: boolean): void {
    if (isEvacuated === this.evacuatedLinks.has(link)) return;
    const pool = this.pools.get(link.target.service);
    if (isEvacuated) {
      this.evacuatedLinks.add(link);
      pool?.removeLink(link);
      return;
    }
    this.evacuatedLinks.delete(link);
    pool?.addLink(link);
    link.reconnect();
  }

  private openLink(target: TargetInfo): AgentLink {
    const applyToPool = (link: AgentLink, event: PlacementEvent) => {
      if (this.links.get(link.target.target) !== link) return;
      if (this.evacuatedLinks.has(link)) return;
      this.pools.get(link.target.service)?.apply(event);
    };
    const {entry, clock, log, getEpoch} = this.owner;
    return new AgentLink(target, {
      entry,
      clock,
      log,
      getEpoch,
      nextConnection: () => ++this.connections,
      onOpened: (link, slots) =>
        applyToPool(link, {
          kind: 'target-connected',
          target: link.target.target,
          slots,
        }),
      onClosed: link =>
        applyToPool(link, {
          kind: 'target-disconnected',
          target: link.target.target,
        }),
      onGranted: (link, slots) =>
        applyToPool(link, {
          kind: 'slots-granted',
          target: link.target.target,
          slots,
        }),
      onRecalled: (link, slots) =>
        applyToPool(link, {
          kind: 'slots-recalled',
          target: link.target.target,
          slots,
        }),
      onUnawaitedEnd: () => {},
    });
  }

  private getWeight(team: TeamName): number {
    return (
      this.configuration.teams.find(({name}) => name === team)?.weight ?? 1
    );
  }
}

/** True when a target can keep its link: the link stays in the pool of one service. */
function isSameDestination(known: TargetInfo, target: TargetInfo): boolean {
  return known.address === target.address && known.service === target.service;
}
