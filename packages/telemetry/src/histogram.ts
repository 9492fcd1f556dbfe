import {build, type Histogram} from 'hdr-histogram-js';
import type {ServiceName, TeamName} from '#model';

/**
 * What a histogram holds: times in ms, or the ratio of a job's response time to
 * the time that its tasks would take on idle targets.
 */
export type Measure = 'response' | 'queue-wait' | 'run' | 'response-over-ideal';

export interface HistogramSummary {
  readonly team: TeamName;
  readonly service: ServiceName;
  readonly measure: Measure;
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

interface Series {
  readonly team: TeamName;
  readonly service: ServiceName;
  readonly measure: Measure;
  readonly histogram: Histogram;
}

/** Takes the values of teams beyond the bound, so that memory stays bounded. */
export const overflowTeam: TeamName = '(others)';

const stepsPerUnit = 100;
const maxValue = 1_000_000_000;
const significantDigits = 2;
const defaultMaxSeries = 4096;

/**
 * Histograms by team, service and measure since the process started.
 * A value is kept to 0.01 and to two significant digits.
 */
export class Histograms {
  private readonly series = new Map<string, Series>();

  constructor(private readonly maxSeries = defaultMaxSeries) {}

  /** Records a value; one that is not a finite number of at least 0 is ignored. */
  record(
    team: TeamName,
    service: ServiceName,
    measure: Measure,
    value: number,
  ): void {
    if (!Number.isFinite(value) || value < 0) return;
    const steps = Math.min(maxValue, Math.round(value * stepsPerUnit));
    this.findSeries(team, service, measure).histogram.recordValue(steps);
  }

  /** Summarizes every series, by team, service and measure. */
  summarize(): readonly HistogramSummary[] {
    return [...this.series.keys()]
      .sort()
      .map(key => summarizeSeries(this.series.get(key)!));
  }

  private findSeries(
    team: TeamName,
    service: ServiceName,
    measure: Measure,
  ): Series {
    const key = JSON.stringify([team, service, measure]);
    const known = this.series.get(key);
    if (known !== undefined) return known;
    if (this.series.size >= this.maxSeries && team !== overflowTeam) {
      return this.findSeries(overflowTeam, service, measure);
    }
    const created = {team, service, measure, histogram: buildHistogram()};
    this.series.set(key, created);
    return created;
  }
}

function buildHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2 * stepsPerUnit,
    numberOfSignificantValueDigits: significantDigits,
    useWebAssembly: false,
  });
}

function summarizeSeries(series: Series): HistogramSummary {
  const {team, service, measure, histogram} = series;
  const quote = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / stepsPerUnit;
  return {
    team,
    service,
    measure,
    count: histogram.totalCount,
    mean: Math.round(histogram.mean) / stepsPerUnit,
    p50: quote(50),
    p90: quote(90),
    p99: quote(99),
    max: histogram.maxValue / stepsPerUnit,
  };
}
