import {build, type Histogram} from 'hdr-histogram-js';
import type {ServiceName, TeamName} from '#model';

/**
 * The quantity that a histogram records: a time in ms, or the ratio of a job's response time to
 * its ideal response time, which is the longest run time of its tasks.
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
  /** Sum of all values, so that the mean needs no iteration over the histogram. */
  sum: number;
}

/** Collects the values of teams beyond the series limit, so that memory use stays bounded. */
export const overflowTeam: TeamName = '(others)';

const stepsPerUnit = 100;
const maxSteps = 1_000_000_000;
const significantDigits = 2;
const defaultMaxSeries = 4096;

/**
 * Histograms by team, service and measure since the process started. Values
 * have a resolution of 0.01 and a precision of two significant digits.
 */
export class Histograms {
  private readonly teams = new Map<TeamName, Map<string, Series>>();
  private size = 0;

  constructor(private readonly maxSeries = defaultMaxSeries) {}

  /** Records a value. Negative and non-finite values are ignored. */
  record(
    team: TeamName,
    service: ServiceName,
    measure: Measure,
    value: number,
  ): void {
    if (!Number.isFinite(value) || value < 0) return;
    const series = this.findSeries(team, service, measure);
    const steps = Math.min(maxSteps, Math.round(value * stepsPerUnit));
    series.histogram.recordValue(steps);
    series.sum += value;
  }

  /** Summarizes all series, sorted by team, service and measure. */
  summarize(): readonly HistogramSummary[] {
    return sortByKey(this.teams).flatMap(byKey =>
      sortByKey(byKey).map(summarizeSeries),
    );
  }

  private findSeries(
    team: TeamName,
    service: ServiceName,
    measure: Measure,
  ): Series {
    const key = `${service} ${measure}`;
    const known = this.teams.get(team)?.get(key);
    if (known !== undefined) return known;
    if (this.size >= this.maxSeries && team !== overflowTeam) {
      return this.findSeries(overflowTeam, service, measure);
    }
    const histogram = buildHistogram();
    const created = {team, service, measure, histogram, sum: 0};
    const byKey = this.teams.get(team) ?? new Map<string, Series>();
    this.teams.set(team, byKey.set(key, created));
    this.size++;
    return created;
  }
}

function sortByKey<Value>(map: ReadonlyMap<string, Value>): readonly Value[] {
  return [...map.keys()].sort().map(key => map.get(key)!);
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
  const {team, service, measure, histogram, sum} = series;
  const getPercentile = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / stepsPerUnit;
  return {
    team,
    service,
    measure,
    count: histogram.totalCount,
    mean: roundToStep(sum / histogram.totalCount),
    p50: getPercentile(50),
    p90: getPercentile(90),
    p99: getPercentile(99),
    max: histogram.maxValue / stepsPerUnit,
  };
}

function roundToStep(value: number): number {
  return Math.round(value * stepsPerUnit) / stepsPerUnit;
}
