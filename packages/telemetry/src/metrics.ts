import {StatsD} from 'hot-shots';
import type {MetricsSettings} from '#settings';

export type Tags = Readonly<Record<string, string>>;

/** Counters, gauges and timings by name. Never fails and never waits. */
export interface Metrics extends AsyncDisposable {
  readonly increment: (name: string, count?: number, tags?: Tags) => void;
  readonly gauge: (name: string, value: number, tags?: Tags) => void;
  /** Records a time in ms. */
  readonly timing: (name: string, ms: number, tags?: Tags) => void;
}

/** Takes every metric and sends none. */
export const silentMetrics: Metrics = {
  increment: () => {},
  gauge: () => {},
  timing: () => {},
  [Symbol.asyncDispose]: () => Promise.resolve(),
};

/** Sends metrics by the StatsD protocol; without settings they go nowhere. */
export function openMetrics(
  settings: MetricsSettings | undefined,
  tags: Tags,
): Metrics {
  if (settings === undefined) return silentMetrics;
  const client = new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: settings.prefix,
    globalTags: {...tags},
    errorHandler: () => {},
    maxBufferSize: 1400,
  });
  return {
    increment: (name, count = 1, at = {}) =>
      client.increment(name, count, {...at}),
    gauge: (name, value, at = {}) => client.gauge(name, value, {...at}),
    timing: (name, ms, at = {}) => client.timing(name, ms, {...at}),
    [Symbol.asyncDispose]: () =>
      new Promise(resolve => client.close(() => resolve())),
  };
}
