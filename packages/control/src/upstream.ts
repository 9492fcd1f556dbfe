import type {Address, Clock, Instant, RegionName} from '#model';
import type {
  ApplyConfigParams,
  ApplyConfigResult,
  ConfigStatus,
  ControlReply,
  Liveness,
  RegionReport,
  UpstreamStatus,
} from '#protocol';
import {ControlClient} from '#membership';
import {parseConfiguration} from '#settings';
import type {Logger} from '#telemetry';
import type {Leader} from './leader.js';
import type {ControlMachine} from './state-machine.js';

/** A connection between regions that stops delivering data is closed within this time. */
const upstreamLiveness: Liveness = {probeAfterMs: 2000, silenceLimitMs: 6000};
const fetchTimeoutMs = 4000;
const reportIntervalMs = 2000;
/** Shorter than the 2 s that a client allows per attempt, so that the client gets an answer. */
const applyTimeoutMs = 1500;

export interface UpstreamOptions {
  /** The addresses of the origin's replicas. */
  readonly controls: readonly Address[];
  /** The region that this group serves. */
  readonly region: RegionName;
  readonly clock: Clock;
  readonly log: Logger;
  readonly leader: Leader;
  readonly machine: ControlMachine;
  /** Summarizes the versions in force in this region. */
  readonly describeRegion: () => Promise<RegionReport>;
}

/**
 * Follows the control group that is the origin of configuration. Every replica watches it, so that
 * a new leader knows the latest version at once; only the leader adopts it, reports to the origin and
 * forwards changes.
 */
export class Upstream implements AsyncDisposable {
  private readonly client: ControlClient;
  private isAdopting = false;
  private nextReportAt: Instant = 0;
  private lastReportedAt: Instant | undefined;
  /** The latest version refused because it does not name this region; it is not fetched again. */
  private refusedVersion = 0;

  constructor(private readonly options: UpstreamOptions) {
    const {controls, clock} = options;
    this.client = new ControlClient({
      controls,
      clock,
      liveness: upstreamLiveness,
    });
    this.client.watch('configuration', () => this.tick());
  }

  /** Adopts a newer version and reports to the origin when due, if this replica leads. */
  tick(): void {
    if (!this.options.leader.isLeading) return;
    if (this.isBehind && !this.isAdopting) void this.fetchAndAdopt();
    const now = this.options.clock.now();
    if (now < this.nextReportAt) return;
    this.nextReportAt = now + reportIntervalMs;
    void this.report();
  }

  /** Forwards a change to the origin, which gives a retry the same answer as the first request. */
  async apply(
    change: ApplyConfigParams,
  ): Promise<ControlReply<ApplyConfigResult>> {
    const {leader, clock, region} = this.options;
    if (change.forwarded) {
      throw new Error(
        `the control group of region "${region}" follows another one and is not the origin of configuration`,
      );
    }
    if (!leader.isLeading) return leader.redirect();
    const reply = await this.client.request(
      'control.applyConfig',
      {...change, forwarded: true},
      clock.now() + applyTimeoutMs,
    );
    return reply.caseOf<ControlReply<ApplyConfigResult>>({
      Right: value => ({kind: 'done', value}),
      Left: ({kind, detail, maybeApplied}) => {
        if (kind === 'rejected' && !maybeApplied) throw new Error(detail);
        const value = {
          kind: 'unknown',
          detail: `the origin of configuration did not answer: ${detail}`,
        } as const;
        return {kind: 'done', value};
      },
    });
  }

  describe(): UpstreamStatus {
    const {version} = this.client.view.configuration;
    if (this.lastReportedAt === undefined) return {version};
    const ageMs = Math.round(this.options.clock.now() - this.lastReportedAt);
    return {version, ageMs};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.client[Symbol.asyncDispose]();
  }

  private get isBehind(): boolean {
    const {version} = this.client.view.configuration;
    return version > Math.max(this.version, this.refusedVersion);
  }

  private get version(): number {
    return this.options.machine.state.configuration.current.version;
  }

  private async fetchAndAdopt(): Promise<void> {
    this.isAdopting = true;
    const {clock} = this.options;
    const status = await this.client.request(
      'control.configStatus',
      {},
      clock.now() + fetchTimeoutMs,
    );
    const found = status.toMaybe().extract();
    if (found !== undefined) await this.adoptConfiguration(found);
    this.isAdopting = false;
  }

  private async adoptConfiguration({
    current,
    history,
    homes,
  }: ConfigStatus): Promise<void> {
    const {leader, log, region} = this.options;
    const {version} = current;
    if (version <= this.version) return;
    if (!hasRegion(current.source.base, region)) {
      this.refusedVersion = version;
      log.error(
        {event: 'adoption-refused', version, region},
        'refused a configuration that does not name this region',
      );
      return;
    }
    const newer = history.filter(each => each.version > this.version);
    const reply = await leader.propose({
      kind: 'adopt-configuration',
      configuration: current,
      history: newer,
      homes,
    });
    if (reply.kind !== 'done') return;
    log.info({event: 'configuration-adopted', version}, 'adopted');
  }

  private async report(): Promise<void> {
    const {clock, describeRegion} = this.options;
    const report = await describeRegion();
    const reply = await this.client.request(
      'control.reportRegion',
      report,
      clock.now() + reportIntervalMs,
    );
    if (reply.isRight()) this.lastReportedAt = clock.now();
  }
}

/** True when the configuration names the region; without it a group cannot tell which jobs to admit. */
function hasRegion(base: string, region: RegionName): boolean {
  return parseConfiguration({base, overlays: {}}, '')
    .map(({regions}) => regions.some(({name}) => name === region))
    .orDefault(false);
}
