import {
  boolean,
  boundCount,
  boundPositive,
  chooseText,
  controlMembers,
  dialAddress,
  dialAddresses,
  host,
  hostName,
  httpUrl,
  listenAddress,
  metricPrefix,
  name,
  path,
  urlPath,
} from './kind.js';
import {
  allowKey,
  allowTable,
  fillKey,
  keepInBase,
  nameTables,
  requireKey,
  requireTable,
} from './shape.js';

const maxDrainMs = 3_600_000;
const maxLeaseMs = 600_000;
const drainMs = fillKey(boundCount(0, maxDrainMs, 'ms'), 30_000);

const processTable = requireTable({
  id: requireKey(name),
  role: allowKey(chooseText('control', 'entry', 'agent')),
  site: requireKey(name),
  region: requireKey(name),
  failure_domain: requireKey(name),
  rack: fillKey(name, 'none'),
  controls: allowKey(dialAddresses),
  log_level: fillKey(chooseText('debug', 'info', 'warn', 'error'), 'info'),
});

const leasesTable = requireTable({
  entry_lease_ms: fillKey(boundCount(100, maxLeaseMs, 'ms'), 3000),
  target_lease_ms: fillKey(boundCount(100, maxLeaseMs, 'ms'), 6000),
  renewal_interval_ms: fillKey(boundCount(10, maxLeaseMs, 'ms'), 1000),
  clock_margin_ms: fillKey(boundCount(0, maxLeaseMs, 'ms'), 250),
});

const metricsTable = allowTable({
  host: fillKey(host, '127.0.0.1'),
  port: fillKey(boundCount(1, 65_535), 8125),
  prefix: fillKey(metricPrefix, 'wasabiring.'),
});

const entryTable = allowTable({
  http: requireKey(listenAddress),
  listen: requireKey(listenAddress),
  advertise: allowKey(dialAddress),
  drain_ms: drainMs,
});

const agentTable = allowTable({
  listen: requireKey(listenAddress),
  advertise: allowKey(dialAddress),
  service: requireKey(name),
  url: requireKey(httpUrl),
  drain_ms: drainMs,
  executor: allowTable({
    slots: requireKey(boundCount(1, 10_000, 'slots')),
    max_connections: requireKey(boundCount(1, 100_000, 'connections')),
  }),
  worker: allowTable({
    cores: requireKey(boundPositive(4096, 'cores')),
    memory_mb: requireKey(boundCount(1, 64 * 1024 * 1024, 'MiB')),
    accelerators: fillKey(boundCount(0, 64, 'accelerators'), 0),
  }),
});

const controlTable = allowTable({
  listen: requireKey(listenAddress),
  data: requireKey(path),
  members: allowKey(controlMembers),
  join: fillKey(boolean, false),
  upstream: allowKey(dialAddresses),
});

const processShapes = {
  process: processTable,
  leases: leasesTable,
  metrics: metricsTable,
  entry: entryTable,
  agent: agentTable,
  control: controlTable,
};

/** The tables of a settings file that concern one process. */
export const processTables: readonly string[] = Object.keys(processShapes);

const hourMs = 3_600_000;
const dayMs = 24 * hourMs;
const weekMs = 7 * dayMs;
const gib = 1024 ** 3;

const limitsTable = requireTable({
  max_tasks_per_job: fillKey(boundCount(1, 100_000, 'tasks'), 1000),
  max_body_bytes: fillKey(
    boundCount(1024, 32 * 1024 * 1024, 'bytes'),
    4 * 1024 * 1024,
  ),
  max_deadline_ms: fillKey(boundCount(1, dayMs, 'ms'), 600_000),
  retention_ms: fillKey(boundCount(1000, dayMs, 'ms'), 120_000),
  unrepeatable_retention_ms: fillKey(boundCount(1000, 4 * weekMs, 'ms'), dayMs),
  max_queued_tasks: fillKey(boundCount(1, 10_000_000, 'tasks'), 50_000),
});

export const serviceTable = requireTable({
  objective: fillKey(
    chooseText('response-time', 'fewest-messages'),
    'response-time',
  ),
  placement: allowKey(chooseText('random', 'probe', 'credit')),
  probes_per_task: fillKey(boundCount(1, 16, 'probes'), 2),
  max_task_ms: fillKey(boundCount(1, hourMs, 'ms'), 10_000),
  max_placements: fillKey(boundCount(1, 1000, 'placements'), 5),
  demand: requireTable({
    cores: fillKey(boundPositive(1024, 'cores'), 1),
    memory_mb: fillKey(boundCount(1, 16 * 1024 * 1024, 'MiB'), 256),
    accelerators: fillKey(boundCount(0, 64, 'accelerators'), 0),
  }),
});

export const teamTable = requireTable({
  home_region: keepInBase(allowKey(name)),
  tasks_per_second: requireKey(boundPositive(gib, 'tasks a second')),
  burst_tasks: allowKey(boundCount(1, gib, 'tasks')),
  weight: fillKey(boundPositive(1_000_000), 1),
});

export const queueTable = requireTable({
  service: requireKey(name),
  host: requireKey(hostName),
  path: requireKey(urlPath),
  priority: fillKey(boundCount(0, 1000), 0),
  max_attempts: fillKey(boundCount(1, 1000, 'runs'), 3),
  timeout_ms: requireKey(boundCount(1, dayMs, 'ms')),
  stretch: fillKey(boundPositive(1000), 1.5),
  slack_ms: fillKey(boundCount(0, dayMs, 'ms'), 100),
});

export const regionTable = requireTable({
  entries: keepInBase(requireKey(dialAddresses)),
});

/** The tables of the dispatch configuration, which control versions and spreads. */
const configurationTables = {
  limits: limitsTable,
  services: nameTables(serviceTable),
  teams: nameTables(teamTable),
  regions: nameTables(regionTable),
  queues: nameTables(queueTable),
};

/** What a configuration text may hold. */
export const configurationShape = requireTable(configurationTables);

/** What a settings file may hold. */
export const settingsShape = requireTable({
  ...processShapes,
  ...configurationTables,
});
