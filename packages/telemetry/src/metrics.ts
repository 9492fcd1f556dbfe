import {StatsD} from 'hot-shots';
import type {MetricsSettings} from '#settings';

export type Tags = Readonly<Record<string, string>>;

/** Counters, gauges and timings by name. Recording never fails or blocks. */
export interface Metrics extends AsyncDisposable {
  readonly increment: (name: string, count?: number, tags?: Tags) => void;
  readonly gauge: (name: string, value: number, tags?: Tags) => void;
  /** Records a time in ms. */
  readonly timing: (name: string, ms: number, tags?: Tags) => void;
}

/** Discards all metrics. */
export const noopMetrics: Metrics = {
  increment: () => {},
  gauge: () => {},
  timing: () => {},
  [Symbol.asyncDispose]: () => Promise.resolve(),
};

/** Sends metrics by the StatsD protocol, or discards them if there are no settings. */
export function openMetrics(
  settings: MetricsSettings | undefined,
  tags: Tags,
): Metrics {
  if (settings === undefined) return noopMetrics;
  const client = new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: settings.prefix,
    globalTags: {...tags},
    errorHandler: () => {},
    maxBufferSize: 1400,
  });
  return {
    increment: (name, count = 1, metricTags = {}) =>
      client.increment(name, count, {...metricTags}),
    gauge: (name, value, metricTags = {}) =>
      client.gauge(name, value, {...metricTags}),
    timing: (name, ms, metricTags = {}) =>
      client.timing(name, ms, {...metricTags}),
    [Symbol.asyncDispose]: () =>
      new Promise(resolve => client.close(() => resolve())),
  };
}
