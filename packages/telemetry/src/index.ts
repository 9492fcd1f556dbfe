export type {HistogramSummary, Measure} from './histogram.js';
export {Histograms, overflowTeam} from './histogram.js';
export type {Logger} from './log.js';
export {openLog} from './log.js';
export type {Metrics, Tags} from './metrics.js';
export {openMetrics, silentMetrics} from './metrics.js';
export {MetricsRegistry, MetricsServer} from './exposition.js';
export type {ExitCode, Runtime} from './runtime.js';
export {exitCode} from './runtime.js';
