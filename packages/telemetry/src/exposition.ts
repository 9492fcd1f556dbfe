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
  private readonly labelSets = new Map<string, Set<string>>();

  constructor(tags: Tags) {
    this.registry.setDefaultLabels({...tags});
  }

  readonly increment = (name: string, count = 1, tags: Tags = {}): void => {
    const counter = findOrAdd(
      this.counters,
      name,
      () => new Counter(this.describe(name, tags)),
    );
    counter.inc(this.bound(name, tags), count);
  };

  readonly gauge = (name: string, value: number, tags: Tags = {}): void => {
    const gauge = findOrAdd(
      this.gauges,
      name,
      () => new Gauge(this.describe(name, tags)),
    );
    gauge.set(this.bound(name, tags), value);
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
    histogram.observe(this.bound(name, tags), ms);
  };

  /** Tells all metrics as text. */
  render(): Promise<string> {
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

  /** Keeps the sets of label values of a name bounded. */
  private bound(name: string, tags: Tags): Record<string, string> {
    const known = findOrAdd(this.labelSets, name, () => new Set<string>());
    const key = Object.values(tags).join('\n');
    if (known.has(key)) return {...tags};
    if (known.size < maxLabelSets) {
      known.add(key);
      return {...tags};
    }
    return Object.fromEntries(
      Object.keys(tags).map(label => [label, otherValue]),
    );
  }
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
