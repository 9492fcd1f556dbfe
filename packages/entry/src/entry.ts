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
import {Desk} from './desk.js';
import {Fleet} from './fleet.js';
import {Forwarder} from './forwarder.js';
import {Gate} from './gate.js';
import {listInherited} from './heir.js';
import {HttpFront} from './http.js';
import {Inheritance} from './inheritance.js';
import {EntryLease} from './lease.js';
import {Neighbours} from './neighbours.js';
import type {Refusal} from './ownership.js';
import {Recorder} from './recorder.js';
import {Registrar} from './registrar.js';
import type {CheckedRequest} from './request.js';

const maxSeed = 2 ** 31;
const askTimeoutMs = 5000;
const settledPollMs = 20;
const drainRetryMs = 100;
const microsPerMs = 1000;

/** The entry role: callers' jobs in, tasks out to agents, one answer a job back. */
export class Entry implements AsyncDisposable {
  private readonly client: ControlClient;
  private readonly lease: EntryLease;
  private readonly registrar: Registrar;
  private readonly neighbours = new Neighbours();
  private readonly desk: Desk;
  private readonly inheritance: Inheritance;
  private readonly fleet: Fleet;
  private readonly recorder: Recorder;
  private readonly gate: Gate;
  private readonly forwarder: Forwarder;
  private front: HttpFront | undefined;
  private view: View | undefined;
  private draining = false;
  private version = 0;

  private constructor(
    private readonly settings: ProcessSettings<EntryRole>,
    private readonly runtime: Runtime,
    private configuration: Configuration,
    private readonly listener: PeerListener,
  ) {
    const {clock, log} = runtime;
    this.recorder = new Recorder(clock, runtime.metrics);
    this.gate = new Gate(settings.id, clock, configuration);
    this.fleet = new Fleet(configuration, {
      entry: settings.id,
      clock,
      log,
      random: createRandom(randomInt(maxSeed)),
      getEpoch: () => this.lease.epoch,
      getStartingEpoch: () => this.lease.startingEpoch,
      onTaskEnd: (execution, end, queuedMs) =>
        this.recorder.recordTask(execution, end, queuedMs),
    });
    this.client = new ControlClient({controls: settings.controls, clock});
    this.registrar = new Registrar(this.client, clock);
    this.inheritance = new Inheritance({
      clock,
      log,
      listLinks: () => this.fleet.listLinks(),
      getLives: () => ({
        getIncarnation: target =>
          this.client.view.targets.get(target)?.incarnation,
        gone: this.client.view.gone,
      }),
      getMaxPlacements: submission => this.getMaxPlacements(submission),
    });
    this.desk = new Desk(
      {
        clock,
        address: this.address,
        isLive: epoch => !this.client.view.ended.has(epoch),
        getEpoch: () => this.lease.epoch,
        getStartingEpoch: () => this.lease.startingEpoch,
        getKeepMs: unrepeatable => this.getKeepMs(unrepeatable),
        getMaxPlacements: submission => this.getMaxPlacements(submission),
        judge: (submission, deadline) => this.judge(submission, deadline),
        announce: submission => this.fleet.announce(submission),
        start: execution => this.fleet.start(execution),
        stop: execution => this.fleet.stop(execution),
        onAnswered: (execution, answer, receivedAt) =>
          this.recorder.recordAnswer(execution, answer, receivedAt),
        inherit: (submission, deadline, standing) =>
          this.inheritance.resume(submission, deadline, standing),
      },
      this.registrar,
      this.neighbours,
    );
    this.forwarder = new Forwarder({
      clock,
      region: settings.place.region,
      getConfiguration: () =>
        this.version > 0 ? this.configuration : undefined,
      desk: this.desk,
      neighbours: this.neighbours,
    });
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
    const listened = await PeerListener.listen(settings.role.listen, {
      'entry.attach': params => entry.attach(params),
      'entry.peek': ({job, forwarded}) =>
        forwarded
          ? entry.desk.peek(job, entry.getAskDeadline())
          : entry.desk.peekLocal(job),
      'entry.cancel': ({job, forwarded}) =>
        forwarded
          ? entry.desk.cancel(job, entry.getAskDeadline())
          : entry.desk.cancelLocal(job),
    } satisfies Handlers);
    const listener = listened.extract();
    if (typeof listener === 'string') return Left(listener);
    const entry: Entry = new Entry(settings, runtime, configuration, listener);
    const front = (await entry.openFront()).extract();
    if (typeof front === 'string') {
      await entry[Symbol.asyncDispose]();
      return Left(front);
    }
    entry.front = front;
    return Right(entry);
  }

  /** Where other entries are told to dial. */
  private get address(): Address {
    return this.settings.role.advertise ?? this.listener.address;
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
    while (this.desk.unanswered + this.forwarder.pending > 0) {
      if (this.runtime.clock.now() >= deadline) return false;
      if (this.runtime.halt.aborted) return false;
      await new Promise(resolve => setTimeout(resolve, settledPollMs));
    }
    return true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.front?.[Symbol.asyncDispose]();
    await this.lease[Symbol.asyncDispose]();
    await this.fleet[Symbol.asyncDispose]();
    await this.neighbours[Symbol.asyncDispose]();
    await this.client[Symbol.asyncDispose]();
    await this.listener[Symbol.asyncDispose]();
  }

  private openFront(): Promise<Either<string, HttpFront>> {
    return HttpFront.listen(this.settings.role.http, {
      getLimits: () => this.configuration.limits,
      submit: request => this.submit(request),
      peek: (team, job) =>
        this.forwarder.peek(team, job, this.getAskDeadline()),
      cancel: (team, job) =>
        this.forwarder.cancel(team, job, this.getAskDeadline()),
      isReady: () => this.isReady,
      isDraining: () => this.draining,
      getStatus: () => this.describe(),
    });
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
        onOpened: epoch => this.takeEpoch(epoch),
        onEnded: epoch => this.loseEpoch(epoch),
      },
      this.settings.leases,
      this.runtime.clock,
    );
  }

  /** Renews the lease, and at times tells and learns what teams ask of the entries. */
  private async renew(
    epoch: Epoch,
    deadline: Instant,
  ): Promise<Renewal | undefined> {
    const demands = this.gate.takeDemands();
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
      this.gate.followDemands(renewal.demands);
    }
    return renewal;
  }

  private takeEpoch(epoch: Epoch): void {
    this.runtime.log.info({event: 'epoch-opened', epoch}, 'opened an epoch');
    this.fleet.resume();
    this.followEnded();
  }

  private loseEpoch(epoch: Epoch): void {
    this.runtime.log.warn({event: 'epoch-ended', epoch}, 'lost the epoch');
    this.desk.relinquish();
    this.inheritance.clear();
    this.fleet.relinquish();
  }

  private followEnded(): void {
    const heir = this.lease.epoch;
    if (heir === undefined || this.view === undefined) return;
    const ended = listInherited([...this.view.ended.values()], heir);
    if (ended.length > 0) this.inheritance.takeOver(ended, heir);
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
      : await this.desk.submit(submission, deadline);
    return {answer};
  }

  private judge(
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
    const pool = this.fleet.getPool(submission.service);
    return this.gate.judge(submission, deadline, pool);
  }

  private follow(view: View, changes: readonly ViewChange[] | undefined): void {
    this.view = view;
    this.configure(view);
    this.fleet.follow(view, changes);
    this.gate.setEntries([...view.entries.values()].map(({entry}) => entry));
    this.followEnded();
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
        this.gate.configure(configuration);
        this.version = version;
        this.runtime.log.info(
          {event: 'configuration-in-force', version},
          'configuration in force',
        );
        this.fleet.configure(configuration);
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
      targets: this.fleet.listLinks().length,
      jobsInHand: this.desk.unanswered,
      answers: this.recorder.countAnswers(),
      refusals: this.gate.countRefusals(),
      pools: this.fleet.describe(),
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

  private getKeepMs(unrepeatable: boolean): number {
    const {limits} = this.configuration;
    return unrepeatable ? limits.unrepeatableRetentionMs : limits.retentionMs;
  }

  private getAskDeadline(): Instant {
    return computeDeadline(this.runtime.clock.now(), askTimeoutMs);
  }
}

/** The process's own use of the machine since its start. */
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
