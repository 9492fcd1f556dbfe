import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {type Either, Left, Right} from 'purify-ts';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {type Address, parseAddress} from '#model';
import type {Metrics, Tags} from './metrics.js';

/** Upper bounds of latency histograms, in ms: from a message between hosts to a caller's patience. */
const bucketsMs = [
  1, 2, 5, 10, 20, 50, 100, 200, 350, 500, 750, 1000, 1500, 2500, 5000, 10000,
];
/** Sets of label values a name may have; more are counted under `other`. */
const maxLabelSets = 200;
const otherValue = 'other';
const okStatus = 200;
const notFoundStatus = 404;

/** Collects metrics and tells them in the text format of Prometheus. Names get underscores for points. */
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

  /** Tells all metrics as text. */
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

  /** Counts gather in the series and go to the registry when it is told: an increment is on the path of each task. */
  private flushCounts(): void {
    for (const [name, all] of this.series) {
      for (const series of all.values()) {
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

  /** Finds a name's series by its label values; their number is bounded. */
  private findSeries(name: string, tags: Tags): Series {
    const all = findOrAdd(this.series, name, () => new Map<string, Series>());
    const key = Object.values(tags).join('\n');
    const known = all.get(key);
    if (known !== undefined) return known;
    if (all.size < maxLabelSets) return addSeries(all, key, {...tags});
    const labels = Object.fromEntries(
      Object.keys(tags).map(label => [label, otherValue]),
    );
    return all.get(otherValue) ?? addSeries(all, otherValue, labels);
  }
}

/** One set of label values of a metric. */
interface Series {
  readonly labels: Record<string, string>;
  /** Counted and not told to the registry yet. */
  pending: number;
}

function addSeries(
  all: Map<string, Series>,
  key: string,
  labels: Record<string, string>,
): Series {
  const series = {labels, pending: 0};
  all.set(key, series);
  return series;
}

/** Serves a registry's text over HTTP at one path. */
export class MetricsServer implements AsyncDisposable {
  private constructor(
    private readonly server: Server,
    /** Where it listens, with the port that the system chose for port 0. */
    readonly address: Address,
  ) {}

  /** Listens at an address; fails with the system's error. */
  static async listen(
    address: Address,
    path: string,
    registry: MetricsRegistry,
  ): Promise<Either<string, MetricsServer>> {
    const parsed = parseAddress(address).extract();
    if (typeof parsed === 'string') return Left(parsed);
    const server = createServer((req, res) => {
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
