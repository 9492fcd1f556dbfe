import {randomInt} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts';
import {
  type Address,
  computeDeadline,
  type Configuration,
  type ConfigurationSource,
  type Epoch,
  type Instant,
  type JobAnswer,
  type Submission,
} from '#model';
import {createRandom} from '#policy';
import {ControlClient, type View} from '#membership';
import {
  type AttachParams,
  type AttachResult,
  type Handlers,
  PeerListener,
  type Renewal,
  type ViewChange,
} from '#protocol';
import {
  type EntryRole,
  parseConfiguration,
  type ProcessSettings,
} from '#settings';
import type {Runtime} from '#telemetry';
import {JobCoordinator} from './job-coordinator.js';
import {ServicePools} from './service-pools.js';
import {Forwarder} from './forwarder.js';
import {AdmissionController} from './admission-controller.js';
import {listInheritedEpochs} from './fence-report.js';
import {type HttpOwner, HttpServer} from './http.js';
import {Takeover} from './takeover.js';
import {EntryLease} from './lease.js';
import {PeerEntries} from './peer-entries.js';
import type {Refusal} from './ownership.js';
import {MetricsRecorder} from './recorder.js';
import {Registrar} from './registrar.js';
import type {CheckedRequest} from './request.js';

const seedLimit = 2 ** 31;
const queryTimeoutMs = 5000;
const drainPollMs = 20;
const drainRetryMs = 100;
const microsPerMs = 1000;

/**
 * The entry role: accepts jobs from callers, sends their tasks to agents and returns one answer per
 * job.
 */
export class Entry implements AsyncDisposable {
  private readonly client: ControlClient;
  private readonly lease: EntryLease;
  private readonly registrar: Registrar;
  private readonly peerEntries = new PeerEntries();
  private readonly jobs: JobCoordinator;
  private readonly takeover: Takeover;
  private readonly pools: ServicePools;
  private readonly recorder: MetricsRecorder;
  private readonly admission: AdmissionController;
  private readonly forwarder: Forwarder;
  private httpServer: HttpServer | undefined;
  private view: View | undefined;
  private draining = false;
  /** Version of the configuration in force; 0 until control has provided one. */
  private version = 0;

  private constructor(
    private readonly settings: ProcessSettings<EntryRole>,
    private readonly runtime: Runtime,
    private configuration: Configuration,
    private readonly listener: PeerListener,
  ) {
    const {clock, log} = runtime;
    this.recorder = new MetricsRecorder(
      clock,
      runtime.metrics,
      () => this.configuration,
    );
    this.admission = new AdmissionController(settings.id, clock, configuration);
    this.pools = new ServicePools(configuration, {
      entry: settings.id,
      clock,
      log,
      random: createRandom(randomInt(seedLimit)),
      getEpoch: () => this.lease.epoch,
      getStartingEpoch: () => this.lease.startingEpoch,
      onTaskEnd: (execution, end, queuedMs) =>
        this.recorder.recordTask(execution, end, queuedMs),
    });
    this.client = new ControlClient({controls: settings.controls, clock});
    this.registrar = new Registrar(this.client, clock);
    this.takeover = new Takeover({
      clock,
      log,
      listLinks: () => this.pools.listLinks(),
      getAgentIncarnations: () => ({
        getIncarnation: target =>
          this.client.view.targets.get(target)?.incarnation,
        gone: this.client.view.gone,
      }),
      getMaxPlacements: submission => this.getMaxPlacements(submission),
    });
    this.jobs = new JobCoordinator(
      {
        clock,
        address: this.address,
        isEpochLive: epoch => !this.client.view.ended.has(epoch),
        getEpoch: () => this.lease.epoch,
        getStartingEpoch: () => this.lease.startingEpoch,
        getRetentionMs: unrepeatable => this.getRetentionMs(unrepeatable),
        getMaxPlacements: submission => this.getMaxPlacements(submission),
        checkAdmission: (submission, deadline) =>
          this.checkAdmission(submission, deadline),
        trackPendingAdmission: submission =>
          this.pools.trackPendingAdmission(submission),
        start: execution => this.pools.start(execution),
        stop: execution => this.pools.stop(execution),
        onAnswered: (execution, answer, receivedAt) =>
          this.recorder.recordAnswer(execution, answer, receivedAt),
        inherit: (submission, deadline, record) =>
          this.takeover.resume(submission, deadline, record),
      },
      this.registrar,
      this.peerEntries,
    );
    this.forwarder = new Forwarder({
      clock,
      region: settings.place.region,
      getConfiguration: () =>
        this.version > 0 ? this.configuration : undefined,
      jobs: this.jobs,
      peerEntries: this.peerEntries,
    });
    this.lease = this.openLease();
    this.client.watch('all', (view, changes) => this.applyView(view, changes));
  }

  /**
   * Starts an entry. It listens at once and becomes ready when it holds a lease and has received
   * the view.
   */
  static async open(
    settings: ProcessSettings<EntryRole>,
    source: ConfigurationSource,
    runtime: Runtime,
  ): Promise<Either<string, Entry>> {
    const parsed = parseConfiguration(source, settings.place.site);
    const configuration = parsed.toMaybe().extract();
    if (configuration === undefined)
      return Left('the configuration is invalid');
    const handlers: Handlers = {
      'entry.attach': params => entry.attach(params),
      'entry.peek': ({job, forwarded}) =>
        forwarded
          ? entry.jobs.peek(job, entry.getQueryDeadline())
          : entry.jobs.peekLocal(job),
      'entry.cancel': ({job, forwarded}) =>
        forwarded
          ? entry.jobs.cancel(job, entry.getQueryDeadline())
          : entry.jobs.cancelLocal(job),
    };
    const listened = await PeerListener.listen(
      settings.role.listen,
      handlers,
      undefined,
      undefined,
      runtime.intake,
    );
    const listener = listened.extract();
    if (typeof listener === 'string') return Left(listener);
    const entry: Entry = new Entry(settings, runtime, configuration, listener);
    const httpServer = (await entry.openHttpServer()).extract();
    if (typeof httpServer === 'string') {
      await entry[Symbol.asyncDispose]();
      return Left(httpServer);
    }
    entry.httpServer = httpServer;
    return Right(entry);
  }

  /** The address that other entries connect to. */
  private get address(): Address {
    return this.settings.role.advertise ?? this.listener.address;
  }

  /** The address that callers connect to. */
  get httpAddress(): Address {
    return this.httpServer!.address;
  }

  /** True when this entry can admit and start jobs. */
  get isReady(): boolean {
    return (
      !this.draining &&
      this.version > 0 &&
      this.lease.startingEpoch !== undefined
    );
  }

  /** Refuses new jobs and waits for the unanswered ones; true when none is left by the deadline. */
  async drain(deadline: Instant): Promise<boolean> {
    this.draining = true;
    while (this.jobs.unanswered + this.forwarder.pending > 0) {
      if (this.runtime.clock.now() >= deadline) return false;
      if (this.runtime.halt.aborted) return false;
      await new Promise(resolve => setTimeout(resolve, drainPollMs));
    }
    return true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.httpServer?.[Symbol.asyncDispose]();
    await this.lease[Symbol.asyncDispose]();
    await this.pools[Symbol.asyncDispose]();
    await this.peerEntries[Symbol.asyncDispose]();
    await this.client[Symbol.asyncDispose]();
    await this.listener[Symbol.asyncDispose]();
  }

  private openHttpServer(): Promise<Either<string, HttpServer>> {
    const owner: HttpOwner = {
      getLimits: () => this.configuration.limits,
      submit: request => this.submit(request),
      peek: (team, job) =>
        this.forwarder.peek(team, job, this.getQueryDeadline()),
      cancel: (team, job) =>
        this.forwarder.cancel(team, job, this.getQueryDeadline()),
      isReady: () => this.isReady,
      isDraining: () => this.draining,
      getStatus: () => this.describe(),
    };
    const {http} = this.settings.role;
    return HttpServer.listen(http, owner, this.runtime.intake);
  }

  private openLease(): EntryLease {
    const {id: entry, place} = this.settings;
    const {address} = this;
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
        renew: (epoch, deadline) => this.renew(epoch, deadline),
        close: async (epoch, deadline) => {
          await this.client.request(
            'control.closeEntry',
            {entry, epoch},
            deadline,
          );
        },
        onOpened: epoch => this.handleEpochOpened(epoch),
        onEnded: epoch => this.handleEpochEnded(epoch),
      },
      this.settings.leases,
      this.runtime.clock,
    );
  }

  /**
   * Renews the lease and, at intervals, exchanges the teams' demand rates with the other entries.
   */
  private async renew(
    epoch: Epoch,
    deadline: Instant,
  ): Promise<Renewal | undefined> {
    const demands = this.admission.takeDueDemands();
    const reply = await this.client.request(
      'control.renewEntry',
      {
        entry: this.settings.id,
        epoch,
        configVersion: this.version,
        ...(demands && {demands}),
      },
      deadline,
    );
    const renewal = reply.toMaybe().extract();
    if (renewal?.kind === 'renewed' && renewal.demands !== undefined) {
      this.admission.setPeerDemands(renewal.demands);
    }
    return renewal;
  }

  private handleEpochOpened(epoch: Epoch): void {
    this.runtime.log.info({event: 'epoch-opened', epoch}, 'opened an epoch');
    this.pools.resume();
    this.takeOverEndedEpochs();
  }

  private handleEpochEnded(epoch: Epoch): void {
    this.runtime.log.warn(
      {event: 'epoch-ended', epoch},
      'the epoch has ended; giving up its jobs',
    );
    this.jobs.relinquish();
    this.takeover.clear();
    this.pools.relinquish();
  }

  private takeOverEndedEpochs(): void {
    const successor = this.lease.epoch;
    if (successor === undefined || this.view === undefined) return;
    const ended = listInheritedEpochs([...this.view.ended.values()], successor);
    if (ended.length > 0) this.takeover.takeOver(ended, successor);
  }

  private submit({
    submission,
    remainingMs,
  }: CheckedRequest): Promise<JobAnswer> {
    const deadline = computeDeadline(this.runtime.clock.now(), remainingMs);
    return this.forwarder.submit(submission, deadline);
  }

  private async attach({
    submission,
    remainingMs,
    forwarded,
  }: AttachParams): Promise<AttachResult> {
    const deadline = computeDeadline(this.runtime.clock.now(), remainingMs);
    const answer = forwarded
      ? await this.forwarder.accept(submission, deadline)
      : await this.jobs.submit(submission, deadline);
    return {answer};
  }

  private checkAdmission(
    submission: Submission,
    deadline: Instant,
  ): Refusal | undefined {
    if (this.draining) {
      return {
        reason: 'draining',
        detail: 'this entry is leaving; another one serves',
        retryAfterMs: drainRetryMs,
      };
    }
    const pool = this.pools.getPool(submission.service);
    return this.admission.check(submission, deadline, pool);
  }

  private applyView(
    view: View,
    changes: readonly ViewChange[] | undefined,
  ): void {
    this.view = view;
    this.configure(view);
    this.pools.applyView(view, changes);
    this.admission.setEntries(
      [...view.entries.values()].map(({entry}) => entry),
    );
    this.takeOverEndedEpochs();
  }

  private configure(view: View): void {
    const {version, source} = view.configuration;
    if (version <= this.version) return;
    parseConfiguration(source, this.settings.place.site).caseOf({
      Left: errors =>
        this.runtime.log.error(
          {event: 'configuration-refused', version, errors},
          'this entry rejected a configuration that control had accepted',
        ),
      Right: configuration => {
        this.configuration = configuration;
        this.admission.configure(configuration);
        this.version = version;
        this.runtime.log.info(
          {event: 'configuration-in-force', version},
          'configuration in force',
        );
        this.pools.configure(configuration);
      },
    });
  }

  private describe(): unknown {
    return {
      entry: this.settings.id,
      epoch: this.lease.epoch ?? null,
      ready: this.isReady,
      draining: this.draining,
      configVersion: this.version,
      targets: this.pools.listLinks().length,
      jobsInHand: this.jobs.unanswered,
      answers: this.recorder.countAnswers(),
      refusals: this.admission.countRefusals(),
      pools: this.pools.describe(),
      process: describeProcess(),
      histograms: this.recorder.summarize(),
    };
  }

  private getMaxPlacements(submission: Submission): number {
    const service = this.configuration.services.find(
      ({name}) => name === submission.service,
    );
    return service?.maxPlacements ?? 1;
  }

  private getRetentionMs(unrepeatable: boolean): number {
    const {limits} = this.configuration;
    return unrepeatable ? limits.unrepeatableRetentionMs : limits.retentionMs;
  }

  private getQueryDeadline(): Instant {
    return computeDeadline(this.runtime.clock.now(), queryTimeoutMs);
  }
}

/** CPU time since the process started, in ms, and its current memory use. */
function describeProcess(): unknown {
  const {user, system} = process.cpuUsage();
  const {rss, heapUsed} = process.memoryUsage();
  return {
    pid: process.pid,
    cpuMs: Math.round((user + system) / microsPerMs),
    residentBytes: rss,
    heapBytes: heapUsed,
  };
}
