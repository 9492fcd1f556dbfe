import type {Clock, Instant, RegionName} from '#model';
import type {ProcessConfigStatus, RegionReport, RegionStatus} from '#protocol';

/** Lagging processes that a report lists by name. */
const maxListedLagging = 8;

/** Summarizes the versions that a region's processes reported, of `expectedCount` that should have. */
export function summarizeRegion(
  region: RegionName,
  version: number,
  processes: readonly ProcessConfigStatus[],
  expectedCount: number,
): RegionReport {
  const versions = processes.map(each => each.version);
  return {
    region,
    version,
    lowest: versions.reduce((low, each) => Math.min(low, each), version),
    highest: versions.reduce((high, each) => Math.max(high, each), 0),
    processes: processes.length,
    silent: Math.max(0, expectedCount - processes.length),
    lagging: processes
      .filter(each => each.version < version)
      .slice(0, maxListedLagging)
      .map(({process}) => process),
  };
}

/** The latest report of each region, held by the leader of the configuration's origin. */
export class RegionReports {
  private readonly reports = new Map<
    RegionName,
    {readonly report: RegionReport; readonly receivedAt: Instant}
  >();

  constructor(private readonly clock: Clock) {}

  record(report: RegionReport): void {
    const receivedAt = this.clock.now();
    this.reports.set(report.region, {report, receivedAt});
  }

  list(): readonly RegionStatus[] {
    const now = this.clock.now();
    return [...this.reports.values()].map(({report, receivedAt}) => ({
      ...report,
      ageMs: Math.round(now - receivedAt),
    }));
  }

  clear(): void {
    this.reports.clear();
  }
}
