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
import type {Machine} from './machine.js';

/** A link between regions that lost bytes is noticed within this. */
const liveness: Liveness = {probeAfterMs: 2000, silenceLimitMs: 6000};
const fetchTimeoutMs = 4000;
const reportIntervalMs = 2000;
/** Shorter than the patience of those who ask this replica. */
const applyTimeoutMs = 1500;

export interface UpstreamOptions {
  /** Where the origin's replicas listen. */
  readonly controls: readonly Address[];
  /** The region that this group serves. */
  readonly region: RegionName;
  readonly clock: Clock;
  readonly log: Logger;
  readonly leader: Leader;
  readonly machine: Machine;
  /** Describes the versions in force in this region. */
  readonly describeRegion: () => Promise<RegionReport>;
}

/**
 * Follows the control group that is the origin of configuration. Every replica watches it, so that
 * a new leader knows the newest version at once; only the leader adopts, reports and passes changes on.
 */
export class Upstream implements AsyncDisposable {
  private readonly client: ControlClient;
  private adopting = false;
  private nextReport: Instant = 0;
  private heardAt: Instant | undefined;
  private refusedVersion = 0;

  constructor(private readonly options: UpstreamOptions) {
    const {controls, clock} = options;
    this.client = new ControlClient({controls, clock, liveness});
    this.client.watch('configuration', () => this.tick());
  }

  /** Does what is due while this replica leads. */
  tick(): void {
    if (!this.options.leader.leads) return;
    if (this.isBehind && !this.adopting) void this.adopt();
    const now = this.options.clock.now();
    if (now < this.nextReport) return;
    this.nextReport = now + reportIntervalMs;
    void this.report();
  }

  /** Passes a change on to the origin, which answers a resend as it did the first time. */
  async apply(
    change: ApplyConfigParams,
  ): Promise<ControlReply<ApplyConfigResult>> {
    const {leader, clock, region} = this.options;
    if (change.forwarded) {
      throw new Error(
        `the control group of region "${region}" follows another one and is not the origin of configuration`,
      );
    }
    if (!leader.leads) return leader.redirect();
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
    if (this.heardAt === undefined) return {version};
    const ageMs = Math.round(this.options.clock.now() - this.heardAt);
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

  private async adopt(): Promise<void> {
    this.adopting = true;
    const {clock} = this.options;
    const status = await this.client.request(
      'control.configStatus',
      {},
      clock.now() + fetchTimeoutMs,
    );
    const found = status.toMaybe().extract();
    if (found !== undefined) await this.adoptStatus(found);
    this.adopting = false;
  }

  private async adoptStatus({
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
        'the configuration does not name this region',
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
    if (reply.isRight()) this.heardAt = clock.now();
  }
}

/** Without its own region a group cannot tell which jobs to admit. */
function hasRegion(base: string, region: RegionName): boolean {
  return parseConfiguration({base, overlays: {}}, '')
    .map(({regions}) => regions.some(({name}) => name === region))
    .orDefault(false);
}
