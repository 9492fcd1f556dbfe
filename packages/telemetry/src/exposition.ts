import type {AddressInfo} from 'node:net';
import {type Either, Left, Right} from 'purify-ts';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {type Door, HttpDoor, Intake} from '#intake';
import {type Address, parseAddress} from '#model';
import type {Metrics, Tags} from './metrics.js';

/** Upper bounds of latency histogram buckets, in ms: from one message between hosts to typical caller timeouts. */
const bucketsMs = [
  1, 2, 5, 10, 20, 50, 100, 200, 350, 500, 750, 1000, 1500, 2500, 5000, 10000,
];
/** Maximum number of label sets per metric; further ones are recorded as `other`. */
const maxLabelSets = 200;
const otherValue = 'other';
const metricsDoor: Door = {
  name: 'metrics',
  maxConnections: 50,
  maxPipelinedRequests: 2,
};
const idleTimeoutMs = 5000;
const okStatus = 200;
const notFoundStatus = 404;

/** Collects metrics and renders them in the Prometheus text format, with underscores for the dots in names. */
export class MetricsRegistry implements Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly histograms = new Map<string, Histogram>();
  private readonly series = new Map<string, Map<string, Series>>();

  constructor(tags: Tags) {
    this.registry.setDefaultLabels({...tags});
  }

  readonly increment = (name: string, count = 1, tags: Tags = {}): void => {
    this.findSeries(name, tags).pending += count;
  };

  readonly gauge = (name: string, value: number, tags: Tags = {}): void => {
    const gauge = findOrAdd(
      this.gauges,
      name,
      () => new Gauge(this.describe(name, tags)),
    );
    gauge.set(this.findSeries(name, tags).labels, value);
  };

  readonly timing = (name: string, ms: number, tags: Tags = {}): void => {
    const histogram = findOrAdd(
      this.histograms,
      name,
      () =>
        new Histogram({
          ...this.describe(`${name}.ms`, tags),
          buckets: bucketsMs,
        }),
    );
    histogram.observe(this.findSeries(name, tags).labels, ms);
  };

  /** Renders all metrics as text. */
  render(): Promise<string> {
    this.flushCounts();
    return this.registry.metrics();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.registry.clear();
  }

  private describe(name: string, tags: Tags) {
    const metric = `wasabiring_${name.replaceAll(/[^a-z0-9]/gi, '_')}`;
    return {
      name: metric,
      help: name,
      labelNames: Object.keys(tags),
      registers: [this.registry],
    };
  }

  /** Moves pending counts to the registry. Deferred until rendering, as increments are on the hot path of each task. */
  private flushCounts(): void {
    for (const [name, byKey] of this.series) {
      for (const series of byKey.values()) {
        if (series.pending === 0) continue;
        const counter = findOrAdd(
          this.counters,
          name,
          () => new Counter(this.describe(name, series.labels)),
        );
        counter.inc(series.labels, series.pending);
        series.pending = 0;
      }
    }
  }

  /** Finds or creates the series of a metric with these label values, up to the limit per metric. */
  private findSeries(name: string, tags: Tags): Series {
    const byKey = findOrAdd(this.series, name, () => new Map<string, Series>());
    const key = Object.values(tags).join('\n');
    const known = byKey.get(key);
    if (known !== undefined) return known;
    if (byKey.size < maxLabelSets) return addSeries(byKey, key, {...tags});
    const labels = Object.fromEntries(
      Object.keys(tags).map(label => [label, otherValue]),
    );
    return byKey.get(otherValue) ?? addSeries(byKey, otherValue, labels);
  }
}

/** One label set of a metric. */
interface Series {
  readonly labels: Record<string, string>;
  /** Counts that are not in the registry yet. */
  pending: number;
}

function addSeries(
  byKey: Map<string, Series>,
  key: string,
  labels: Record<string, string>,
): Series {
  const series = {labels, pending: 0};
  byKey.set(key, series);
  return series;
}

/** Serves a registry's metrics over HTTP at one path. */
export class MetricsServer implements AsyncDisposable {
  private constructor(
    private readonly server: HttpDoor['server'],
    /** The listening address, with the port that the system chose for port 0. */
    readonly address: Address,
  ) {}

  /** Listens at an address, or returns the system's error. */
  static async listen(
    address: Address,
    path: string,
    registry: MetricsRegistry,
    intake: Intake = new Intake(),
  ): Promise<Either<string, MetricsServer>> {
    const parsed = parseAddress(address).extract();
    if (typeof parsed === 'string') return Left(parsed);
    const door = new HttpDoor({
      intake,
      door: metricsDoor,
      keepAliveMs: idleTimeoutMs,
    });
    const {server} = door;
    server.on('request', (req, res) => {
      if (door.admit(req, res).kind !== 'admitted') {
        res.destroy();
        return;
      }
      if (req.url !== path) {
        res.writeHead(notFoundStatus).end();
        return;
      }
      void registry.render().then(text => {
        res.writeHead(okStatus, {'content-type': 'text/plain; version=0.0.4'});
        res.end(text);
      });
    });
    return new Promise(resolve => {
      server.once('error', error => resolve(Left(String(error))));
      server.listen(parsed.port, parsed.host, () => {
        const {port} = server.address() as AddressInfo;
        resolve(Right(new MetricsServer(server, `${parsed.host}:${port}`)));
      });
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }
}

function findOrAdd<Value>(
  map: Map<string, Value>,
  name: string,
  create: () => Value,
): Value {
  const known = map.get(name);
  if (known !== undefined) return known;
  const created = create();
  map.set(name, created);
  return created;
}
