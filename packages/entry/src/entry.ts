import {type Either, Left, Right} from 'purify-ts';
import {
  type Address,
  computeDeadline,
  type Configuration,
  type ConfigurationSource,
  type Epoch,
  type Instant,
  type JobAnswer,
  type ServiceName,
  type Submission,
  type TargetId,
  type TargetInfo,
} from '#model';
import {ControlClient, type View} from '#membership';
import {type Handlers, PeerListener, type ViewChange} from '#protocol';
import {
  type EntryRole,
  parseConfiguration,
  type ProcessSettings,
} from '#settings';
import type {Runtime} from '#telemetry';
import {Desk, type Refusal} from './desk.js';
import type {Execution} from './execution.js';
import {listInherited} from './heir.js';
import {HttpFront} from './http.js';
import {Inheritance} from './inheritance.js';
import {EntryLease} from './lease.js';
import {AgentLink, type TaskEnd} from './link.js';
import {Neighbours} from './neighbours.js';
import {Pool} from './pool.js';
import {Registrar} from './registrar.js';
import type {CheckedRequest} from './request.js';

const askTimeoutMs = 5000;
const settledPollMs = 20;

/** The entry role: callers' jobs in, tasks out to agents, one answer a job back. */
export class Entry implements AsyncDisposable {
  private readonly client: ControlClient;
  private readonly lease: EntryLease;
  private readonly registrar: Registrar;
  private readonly neighbours = new Neighbours();
  private readonly desk: Desk;
  private readonly inheritance: Inheritance;
  private readonly links = new Map<TargetId, AgentLink>();
  private readonly pools = new Map<ServiceName, Pool>();
  private front: HttpFront | undefined;
  private view: View | undefined;
  private draining = false;
  private version = 0;
  private tasksStarted = 0;

  private constructor(
    private readonly settings: ProcessSettings<EntryRole>,
    private readonly runtime: Runtime,
    private configuration: Configuration,
    private readonly listener: PeerListener,
  ) {
    const {clock, log} = runtime;
    this.client = new ControlClient({controls: settings.controls, clock});
    this.registrar = new Registrar(this.client, clock);
    this.inheritance = new Inheritance({
      clock,
      log,
      listLinks: () => [...this.links.values()],
      listGone: () => this.client.view.gone,
      getMaxPlacements: submission => this.getMaxPlacements(submission),
    });
    this.desk = new Desk(
      {
        clock,
        log,
        getStartingEpoch: () => this.lease.startingEpoch,
        getKeepMs: unrepeatable => this.getKeepMs(unrepeatable),
        getMaxPlacements: submission => this.getMaxPlacements(submission),
        judge: submission => this.judge(submission),
        start: execution => this.start(execution),
        stop: execution => this.stop(execution),
        inherit: (submission, deadline, standing) =>
          this.inheritance.resume(submission, deadline, standing),
      },
      this.registrar,
      this.neighbours,
    );
    this.lease = this.openLease();
    this.client.watch('all', (view, changes) => this.follow(view, changes));
  }

  /** Starts an entry: it listens at once and is ready when it has a lease and the view. */
  static async open(
    settings: ProcessSettings<EntryRole>,
    source: ConfigurationSource,
    runtime: Runtime,
  ): Promise<Either<string, Entry>> {
    const parsed = parseConfiguration(source, settings.place.site);
    const configuration = parsed.toMaybe().extract();
    if (configuration === undefined)
      return Left('the configuration is invalid');
    let entry: Entry | undefined;
    const listened = await PeerListener.listen(settings.role.listen, {
      'entry.attach': ({submission, remainingMs}) =>
        entry!.attach(submission, remainingMs),
      'entry.peek': ({job}) => entry!.desk.peekLocal(job),
      'entry.cancel': ({job}) => entry!.desk.cancelLocal(job),
    } satisfies Handlers);
    const listener = listened.extract();
    if (typeof listener === 'string') return Left(listener);
    entry = new Entry(settings, runtime, configuration, listener);
    const front = (await entry.openFront()).extract();
    if (typeof front === 'string') {
      await entry[Symbol.asyncDispose]();
      return Left(front);
    }
    entry.front = front;
    return Right(entry);
  }

  /** Where callers connect. */
  get httpAddress(): Address {
    return this.front!.address;
  }

  /** True when jobs can be admitted and started here. */
  get isReady(): boolean {
    return (
      !this.draining &&
      this.version > 0 &&
      this.lease.startingEpoch !== undefined
    );
  }

  /** Refuses new jobs and waits for those in hand; true when none is left by the deadline. */
  async drain(deadline: Instant): Promise<boolean> {
    this.draining = true;
    while (this.desk.unanswered > 0) {
      if (this.runtime.clock.now() >= deadline) return false;
      if (this.runtime.halt.aborted) return false;
      await new Promise(resolve => setTimeout(resolve, settledPollMs));
    }
    return true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.front?.[Symbol.asyncDispose]();
    await this.lease[Symbol.asyncDispose]();
    await Promise.all(
      [...this.links.values()].map(link => link[Symbol.asyncDispose]()),
    );
    await this.neighbours[Symbol.asyncDispose]();
    await this.client[Symbol.asyncDispose]();
    await this.listener[Symbol.asyncDispose]();
  }

  private openFront(): Promise<Either<string, HttpFront>> {
    return HttpFront.listen(this.settings.role.http, {
      getLimits: () => this.configuration.limits,
      submit: request => this.submit(request),
      peek: job => this.desk.peek(job, this.getAskDeadline()),
      cancel: job => this.desk.cancel(job, this.getAskDeadline()),
      isReady: () => this.isReady,
      isDraining: () => this.draining,
      getStatus: () => this.describe(),
    });
  }

  private openLease(): EntryLease {
    const {id: entry, place} = this.settings;
    const address = this.listener.address;
    return new EntryLease(
      {
        open: async deadline =>
          (
            await this.client.request(
              'control.openEntry',
              {entry, address, place},
              deadline,
            )
          )
            .toMaybe()
            .extract(),
        renew: async (epoch, deadline) =>
          (
            await this.client.request(
              'control.renewEntry',
              {entry, epoch, configVersion: this.version},
              deadline,
            )
          )
            .toMaybe()
            .extract(),
        close: async (epoch, deadline) => {
          await this.client.request(
            'control.closeEntry',
            {entry, epoch},
            deadline,
          );
        },
        onOpened: epoch => this.takeEpoch(epoch),
        onEnded: epoch => this.loseEpoch(epoch),
      },
      this.settings.leases,
      this.runtime.clock,
    );
  }

  private takeEpoch(epoch: Epoch): void {
    this.runtime.log.info({event: 'epoch-opened', epoch}, 'opened an epoch');
    for (const pool of this.pools.values()) pool.openSlots();
    this.claimInheritance();
  }

  private loseEpoch(epoch: Epoch): void {
    this.runtime.log.warn({event: 'epoch-ended', epoch}, 'lost the epoch');
    this.desk.relinquish();
    this.inheritance.clear();
    for (const link of this.links.values()) link.relinquish();
  }

  private claimInheritance(): void {
    const heir = this.lease.epoch;
    if (heir === undefined || this.view === undefined) return;
    const ended = listInherited([...this.view.ended.values()], heir);
    if (ended.length > 0) this.inheritance.claim(ended, heir);
  }

  private submit({
    submission,
    remainingMs,
  }: CheckedRequest): Promise<JobAnswer> {
    const deadline = computeDeadline(this.runtime.clock.now(), remainingMs);
    return this.desk.submit(submission, deadline);
  }

  private async attach(
    submission: Submission,
    remainingMs: number,
  ): Promise<{readonly answer: JobAnswer}> {
    const answer = await this.submit({submission, remainingMs});
    return {answer};
  }

  private judge(submission: Submission): Refusal | undefined {
    const {teams, services} = this.configuration;
    if (!teams.some(({name}) => name === submission.team)) {
      return {
        reason: 'unknown-team',
        detail: `team "${submission.team}" does not exist`,
        retryAfterMs: 0,
      };
    }
    if (!services.some(({name}) => name === submission.service)) {
      return {
        reason: 'unknown-service',
        detail: `service "${submission.service}" does not exist`,
        retryAfterMs: 0,
      };
    }
    if (this.draining) {
      return {
        reason: 'draining',
        detail: 'this entry is leaving; another one serves',
        retryAfterMs: 100,
      };
    }
    return undefined;
  }

  private start(execution: Execution): void {
    const {submission, tasks} = execution.job;
    const waiting = tasks.flatMap((state, task) =>
      state.kind === 'waiting' ? [task] : [],
    );
    this.getPool(submission.service)?.add(execution, waiting);
  }

  private stop(execution: Execution): void {
    const {tasks, submission} = execution.job;
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

  private follow(view: View, changes: readonly ViewChange[] | undefined): void {
    this.view = view;
    this.configure(view);
    if (changes === undefined) this.followAll(view);
    else for (const change of changes) this.followChange(change);
    this.claimInheritance();
  }

  private followAll(view: View): void {
    for (const target of view.targets.list()) this.putTarget(target);
    for (const id of [...this.links.keys()]) {
      if (view.targets.get(id) === undefined) this.removeTarget(id);
    }
  }

  private followChange(change: ViewChange): void {
    if (change.kind === 'target-joined') this.putTarget(change.target);
    if (change.kind === 'target-gone') {
      const {target, incarnation} = change.gone;
      const link = this.links.get(target);
      if (link?.target.incarnation === incarnation) this.removeTarget(target);
    }
  }

  private putTarget(target: TargetInfo): void {
    const known = this.links.get(target.target);
    if (known !== undefined && known.target.address === target.address) {
      known.update(target);
      return;
    }
    if (known !== undefined) this.removeTarget(target.target);
    const link = new AgentLink(target, {
      entry: this.settings.id,
      clock: this.runtime.clock,
      log: this.runtime.log,
      getEpoch: () => this.lease.epoch,
      onSlots: changed => this.pools.get(changed.target.service)?.openSlots(),
      onStray: () => {},
    });
    this.links.set(target.target, link);
    this.getPool(target.service)?.links.set(target.target, link);
  }

  private removeTarget(target: TargetId): void {
    const link = this.links.get(target);
    if (link === undefined) return;
    this.links.delete(target);
    this.pools.get(link.target.service)?.links.delete(target);
    link.retire();
    this.pools.get(link.target.service)?.openSlots();
  }

  private getPool(service: ServiceName): Pool | undefined {
    const known = this.pools.get(service);
    if (known !== undefined) return known;
    const config = this.configuration.services.find(
      ({name}) => name === service,
    );
    if (config === undefined) return undefined;
    const pool = new Pool(config, {
      clock: this.runtime.clock,
      getStartingEpoch: () => this.lease.startingEpoch,
      getKeepMs: unrepeatable => this.getKeepMs(unrepeatable),
      onTaskEnd: (execution, end) => this.recordTaskEnd(execution, end),
    });
    this.pools.set(service, pool);
    return pool;
  }

  private configure(view: View): void {
    const {version, source} = view.configuration;
    if (version <= this.version) return;
    parseConfiguration(source, this.settings.place.site).caseOf({
      Left: errors =>
        this.runtime.log.error(
          {event: 'configuration-refused', version, errors},
          'an accepted configuration is invalid here',
        ),
      Right: configuration => {
        this.configuration = configuration;
        this.version = version;
        this.runtime.log.info(
          {event: 'configuration-in-force', version},
          'configuration in force',
        );
        for (const service of configuration.services) {
          const pool = this.pools.get(service.name);
          if (pool !== undefined) pool.service = service;
        }
      },
    });
  }

  private recordTaskEnd(_execution: Execution, end: TaskEnd): void {
    if (end.fate.kind !== 'not-run') this.tasksStarted++;
  }

  private describe(): unknown {
    return {
      entry: this.settings.id,
      epoch: this.lease.epoch ?? null,
      ready: this.isReady,
      draining: this.draining,
      configVersion: this.version,
      targets: this.links.size,
      jobsInHand: this.desk.unanswered,
      tasksStarted: this.tasksStarted,
      pools: [...this.pools.values()].map(pool => ({
        service: pool.service.name,
        waiting: pool.waiting,
        running: pool.running,
      })),
    };
  }

  private getMaxPlacements(submission: Submission): number {
    const service = this.configuration.services.find(
      ({name}) => name === submission.service,
    );
    return service?.maxPlacements ?? 1;
  }

  private getKeepMs(unrepeatable: boolean): number {
    const {limits} = this.configuration;
    return unrepeatable ? limits.unrepeatableRetentionMs : limits.retentionMs;
  }

  private getAskDeadline(): Instant {
    return computeDeadline(this.runtime.clock.now(), askTimeoutMs);
  }
}
