import type {LateJobs, UrgentRuns} from '#model';
import {
  boolean,
  declareInteger,
  declarePositiveNumber,
  declareTextChoice,
  controlMembers,
  dialableAddress,
  dialableAddresses,
  host,
  hostName,
  httpUrl,
  listenAddress,
  metricPrefix,
  name,
  folderPath,
  urlPath,
} from './value-types.js';
import {defaultIntake} from './intake.js';
import {
  declareOptionalKey,
  declareOptionalTable,
  declareDefaultedKey,
  markBaseOnly,
  declareNamedTables,
  declareRequiredKey,
  declareTable,
} from './shape.js';

const maxDrainMs = 3_600_000;
const maxLeaseMs = 600_000;
const drainMs = declareDefaultedKey(
  declareInteger(0, maxDrainMs, 'ms'),
  30_000,
);

const processTable = declareTable({
  id: declareRequiredKey(name),
  role: declareOptionalKey(declareTextChoice('control', 'entry', 'agent')),
  site: declareRequiredKey(name),
  region: declareRequiredKey(name),
  failure_domain: declareRequiredKey(name),
  rack: declareDefaultedKey(name, 'none'),
  controls: declareOptionalKey(dialableAddresses),
  log_level: declareDefaultedKey(
    declareTextChoice('debug', 'info', 'warn', 'error'),
    'info',
  ),
});

const leasesTable = declareTable({
  entry_lease_ms: declareDefaultedKey(
    declareInteger(100, maxLeaseMs, 'ms'),
    3000,
  ),
  target_lease_ms: declareDefaultedKey(
    declareInteger(100, maxLeaseMs, 'ms'),
    6000,
  ),
  renewal_interval_ms: declareDefaultedKey(
    declareInteger(10, maxLeaseMs, 'ms'),
    1000,
  ),
  clock_margin_ms: declareDefaultedKey(
    declareInteger(0, maxLeaseMs, 'ms'),
    250,
  ),
});

const metricsTable = declareOptionalTable({
  host: declareDefaultedKey(host, '127.0.0.1'),
  port: declareDefaultedKey(declareInteger(1, 65_535), 8125),
  prefix: declareDefaultedKey(metricPrefix, 'wasabiring.'),
});

const maxIntakeMs = 3_600_000;
const maxIntakeBytes = 1024 ** 3;
const maxIntakeCount = 1_000_000;

const intakeTable = declareTable({
  max_held_bytes: declareDefaultedKey(
    declareInteger(64 * 1024, maxIntakeBytes, 'bytes'),
    defaultIntake.maxHeldBytes,
  ),
  max_held_chunks: declareDefaultedKey(
    declareInteger(1000, 100 * maxIntakeCount, 'chunks'),
    defaultIntake.maxHeldChunks,
  ),
  max_body_ms: declareDefaultedKey(
    declareInteger(1000, maxIntakeMs, 'ms'),
    defaultIntake.maxBodyMs,
  ),
  body_grace_ms: declareDefaultedKey(
    declareInteger(100, maxIntakeMs, 'ms'),
    defaultIntake.bodyGraceMs,
  ),
  min_body_bytes_per_second: declareDefaultedKey(
    declareInteger(1, maxIntakeBytes, 'bytes a second'),
    defaultIntake.minBodyBytesPerSecond,
  ),
  max_header_ms: declareDefaultedKey(
    declareInteger(100, maxIntakeMs, 'ms'),
    defaultIntake.maxHeaderMs,
  ),
  max_connections: declareDefaultedKey(
    declareInteger(10, maxIntakeCount, 'connections'),
    defaultIntake.maxConnections,
  ),
  max_connections_per_address: declareDefaultedKey(
    declareInteger(1, maxIntakeCount, 'connections'),
    defaultIntake.maxConnectionsPerAddress,
  ),
  max_pipelined_requests: declareDefaultedKey(
    declareInteger(1, maxIntakeCount, 'requests'),
    defaultIntake.maxPipelinedRequests,
  ),
  max_requests: declareDefaultedKey(
    declareInteger(1, maxIntakeCount, 'requests'),
    defaultIntake.maxRequests,
  ),
});

const entryTable = declareOptionalTable({
  http: declareRequiredKey(listenAddress),
  listen: declareRequiredKey(listenAddress),
  advertise: declareOptionalKey(dialableAddress),
  drain_ms: drainMs,
});

const agentTable = declareOptionalTable({
  listen: declareRequiredKey(listenAddress),
  advertise: declareOptionalKey(dialableAddress),
  service: declareRequiredKey(name),
  url: declareRequiredKey(httpUrl),
  drain_ms: drainMs,
  executor: declareOptionalTable({
    slots: declareRequiredKey(declareInteger(1, 10_000, 'slots')),
    max_connections: declareRequiredKey(
      declareInteger(1, 100_000, 'connections'),
    ),
  }),
  worker: declareOptionalTable({
    cores: declareRequiredKey(declarePositiveNumber(4096, 'cores')),
    memory_mb: declareRequiredKey(declareInteger(1, 64 * 1024 * 1024, 'MiB')),
    accelerators: declareDefaultedKey(declareInteger(0, 64, 'accelerators'), 0),
  }),
});

const controlTable = declareOptionalTable({
  listen: declareRequiredKey(listenAddress),
  data: declareRequiredKey(folderPath),
  members: declareOptionalKey(controlMembers),
  join: declareDefaultedKey(boolean, false),
  voters: declareOptionalKey(declareInteger(3, 7, 'voters')),
  upstream: declareOptionalKey(dialableAddresses),
});

const processShapes = {
  process: processTable,
  leases: leasesTable,
  metrics: metricsTable,
  intake: intakeTable,
  entry: entryTable,
  agent: agentTable,
  control: controlTable,
};

/** The tables of a settings file that configure a process rather than the dispatch of jobs. */
export const processTables: readonly string[] = Object.keys(processShapes);

const hourMs = 3_600_000;
const dayMs = 24 * hourMs;
const weekMs = 7 * dayMs;
const maxTeamTasks = 1024 ** 3;

const limitsTable = declareTable({
  max_tasks_per_job: declareDefaultedKey(
    declareInteger(1, 100_000, 'tasks'),
    1000,
  ),
  max_body_bytes: declareDefaultedKey(
    declareInteger(1024, 32 * 1024 * 1024, 'bytes'),
    4 * 1024 * 1024,
  ),
  max_deadline_ms: declareDefaultedKey(declareInteger(1, dayMs, 'ms'), 600_000),
  retention_ms: declareDefaultedKey(declareInteger(1000, dayMs, 'ms'), 120_000),
  unrepeatable_retention_ms: declareDefaultedKey(
    declareInteger(1000, 4 * weekMs, 'ms'),
    dayMs,
  ),
  max_queued_tasks: declareDefaultedKey(
    declareInteger(1, 10_000_000, 'tasks'),
    50_000,
  ),
});

export const serviceTable = declareTable({
  objective: declareDefaultedKey(
    declareTextChoice('response-time', 'fewest-messages'),
    'response-time',
  ),
  placement: declareOptionalKey(declareTextChoice('random', 'probe', 'credit')),
  probes_per_task: declareDefaultedKey(declareInteger(1, 16, 'probes'), 2),
  max_task_ms: declareDefaultedKey(declareInteger(1, hourMs, 'ms'), 10_000),
  max_placements: declareDefaultedKey(declareInteger(1, 1000, 'placements'), 5),
  demand: declareTable({
    cores: declareDefaultedKey(declarePositiveNumber(1024, 'cores'), 1),
    memory_mb: declareDefaultedKey(
      declareInteger(1, 16 * 1024 * 1024, 'MiB'),
      256,
    ),
    accelerators: declareDefaultedKey(declareInteger(0, 64, 'accelerators'), 0),
  }),
});

export const teamTable = declareTable({
  home_region: markBaseOnly(declareOptionalKey(name)),
  tasks_per_second: declareRequiredKey(
    declarePositiveNumber(maxTeamTasks, 'tasks a second'),
  ),
  burst_tasks: declareOptionalKey(declareInteger(1, maxTeamTasks, 'tasks')),
  weight: declareDefaultedKey(declarePositiveNumber(1_000_000), 1),
});

export const queueTable = declareTable({
  service: declareRequiredKey(name),
  host: declareRequiredKey(hostName),
  path: declareRequiredKey(urlPath),
  priority: declareDefaultedKey(declareInteger(0, 1000), 0),
  max_attempts: declareDefaultedKey(declareInteger(1, 1000, 'runs'), 3),
  timeout_ms: declareRequiredKey(declareInteger(1, dayMs, 'ms')),
  stretch: declareDefaultedKey(declarePositiveNumber(1000), 1.5),
  slack_ms: declareDefaultedKey(declareInteger(0, dayMs, 'ms'), 100),
  late_jobs: declareDefaultedKey(
    declareTextChoice<LateJobs>('serve', 'avoid'),
    'serve',
  ),
  urgent_runs: declareDefaultedKey(
    declareTextChoice<UrgentRuns>('wait', 'return'),
    'wait',
  ),
});

export const regionTable = declareTable({
  entries: markBaseOnly(declareRequiredKey(dialableAddresses)),
});

/** The tables of the dispatch configuration, which the control processes version and distribute. */
const configurationTables = {
  limits: limitsTable,
  services: declareNamedTables(serviceTable),
  teams: declareNamedTables(teamTable),
  regions: declareNamedTables(regionTable),
  queues: declareNamedTables(queueTable),
};

/** The tables of a configuration text. */
export const configurationShape = declareTable(configurationTables);

/** The tables of a settings file. */
export const settingsShape = declareTable({
  ...processShapes,
  ...configurationTables,
});
