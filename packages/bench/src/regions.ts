import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {stringify} from 'smol-toml';
import {exitCode} from '#telemetry';
import {runCommand} from './operator.js';
import type {Fault} from './proxy.js';
import type {SiteOptions} from './site-options.js';
import {Site} from './site.js';

export const originRegion = 'north';
export const otherRegion = 'south';

const applyTimeoutMs = 20_000;

/** Two regions, each a site with its own control group; `origin` is the origin of configuration. */
export class RegionPair implements AsyncDisposable {
  private constructor(
    readonly origin: Site,
    readonly other: Site,
    private readonly configuration: Readonly<Record<string, unknown>>,
  ) {}

  /**
   * Starts the origin without regions, then adds both by a configuration change, as operators do.
   * `homes` maps each team to its region; `describe` returns the site options of a region.
   */
  static async start(
    homes: Readonly<Record<string, string>>,
    describe: (region: string) => SiteOptions,
  ): Promise<RegionPair> {
    const origin = await Site.start(describe(originRegion));
    await origin.waitUntilReady();
    const other = await Site.start({
      ...describe(otherRegion),
      upstream: origin.controls,
    });
    origin.addPeerSite(other);
    other.addPeerSite(origin);
    const {services, limits} = origin.options.configuration;
    const regions = new RegionPair(origin, other, {
      services,
      limits,
      regions: {
        [originRegion]: {entries: listEntries(origin)},
        [otherRegion]: {entries: listEntries(other)},
      },
      teams: Object.fromEntries(
        Object.entries(homes).map(([team, region]) => [
          team,
          {home_region: region, tasks_per_second: 100_000},
        ]),
      ),
    });
    const code = await regions.apply(origin, 'divide', 1);
    if (!isAccepted(code))
      throw new Error(
        `applying the configuration of the regions failed with exit code ${code}`,
      );
    await other.waitUntilReady();
    return regions;
  }

  /** Applies the configuration through a site's controls with the command-line tool; returns its exit code. */
  async apply(
    site: Site,
    changeId: string,
    expectedVersion: number,
    timeoutMs = applyTimeoutMs,
  ): Promise<number> {
    const base = join(site.options.data, `${changeId}.toml`);
    writeFileSync(base, stringify(this.configuration));
    const {code} = await runCommand(site, [
      ...['config', 'apply', '--base', base],
      ...['--change-id', changeId, '--expect', String(expectedVersion)],
      ...['--timeout-ms', String(timeoutMs)],
      ...site.controls.flatMap(address => ['--control', address]),
    ]);
    return code;
  }

  /** Injects a fault into every link between the regions. */
  inject(fault: Fault): void {
    for (const {proxy} of this.origin.members) {
      proxy!.inject(fault, otherRegion);
    }
    for (const {proxy} of this.other.members) {
      proxy!.inject(fault, originRegion);
    }
  }

  /** Ends every fault. Connections that lost bytes stay silent. */
  restore(): void {
    for (const {proxy} of [...this.origin.members, ...this.other.members]) {
      proxy!.restore();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.other[Symbol.asyncDispose]();
    await this.origin[Symbol.asyncDispose]();
  }
}

/** Returns true if the exit code says that the change is in force. */
export function isAccepted(code: number): boolean {
  return code === exitCode.ok;
}

function listEntries(site: Site): readonly string[] {
  return site.list('entry').map(({plan}) => plan.advertise);
}
