import {type Either, Left} from 'purify-ts';
import type {Capacity, ConfigurationSource} from '#model';
import {checkDocument, completeTable, describeValue} from './check.js';
import {
  checkSource,
  configurationTables,
  extractSource,
  failOnErrors,
} from './configuration.js';
import {
  type Document,
  isTable,
  mergeTables,
  parseDocument,
  readText,
  type TomlTable,
} from './document.js';
import type {SettingsError} from './error.js';
import {
  boolean,
  boundCount,
  boundPositive,
  chooseText,
  controlMembers,
  dialAddresses,
  host,
  httpUrl,
  listenAddress,
  metricPrefix,
  name,
  path,
} from './kind.js';
import type {LeaseSettings, ProcessSettings, Role} from './process.js';
import {
  allowKey,
  allowTable,
  fillKey,
  requireKey,
  requireTable,
  type ValueOf,
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
  drain_ms: drainMs,
});

const agentTable = allowTable({
  listen: requireKey(listenAddress),
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
});

const settingsShape = requireTable({
  process: processTable,
  leases: leasesTable,
  metrics: metricsTable,
  entry: entryTable,
  agent: agentTable,
  control: controlTable,
  ...configurationTables,
});

/** A process's settings and the configuration that its files state. */
export interface LoadedSettings<OneRole extends Role = Role> {
  readonly process: ProcessSettings<OneRole>;
  readonly configuration: ConfigurationSource;
}

/** Where the settings of one process are written. */
export interface SettingsFiles {
  readonly settings: string;
  /** States only differences; merged on top. */
  readonly overlay?: string;
}

export type RoleOf<Kind extends Role['kind']> = Extract<
  Role,
  {readonly kind: Kind}
>;

/** Loads and checks the settings of a process; fails with every error found. */
export function loadProcessSettings<Kind extends Role['kind']>(
  files: SettingsFiles,
  role: Kind,
): Either<readonly SettingsError[], LoadedSettings<RoleOf<Kind>>> {
  const origin = `settings "${files.settings}"`;
  return readText(files.settings, origin).chain(settings => {
    if (files.overlay === undefined) {
      return parseProcessSettings({settings, origin}, undefined, role);
    }
    const overlayOrigin = `overlay "${files.overlay}"`;
    return readText(files.overlay, overlayOrigin).chain(overlay =>
      parseProcessSettings(
        {settings, origin},
        {settings: overlay, origin: overlayOrigin},
        role,
      ),
    );
  });
}

/** A settings text and the name by which errors call it. */
export interface SettingsText {
  readonly settings: string;
  readonly origin: string;
}

/** Parses settings from texts; fails with every error found. */
export function parseProcessSettings<Kind extends Role['kind']>(
  base: SettingsText,
  overlay: SettingsText | undefined,
  role: Kind,
): Either<readonly SettingsError[], LoadedSettings<RoleOf<Kind>>> {
  return parsePart(base).chain(settings => {
    if (overlay === undefined) {
      return completeSettings(settings.table, settings.origin, role, base);
    }
    return parsePart(overlay, settings).chain(over =>
      completeSettings(
        mergeTables(settings.table, over.table),
        `${settings.origin} with ${over.origin}`,
        role,
        base,
        overlay,
      ),
    );
  });
}

function parsePart(
  text: SettingsText,
  base?: Document,
): Either<readonly SettingsError[], Document> {
  return parseDocument(text.settings, text.origin).chain(document =>
    failOnErrors(
      checkDocument(
        document,
        settingsShape,
        base === undefined
          ? {kind: 'base'}
          : {kind: 'overlay', base: base.table},
      ),
      document,
    ),
  );
}

function completeSettings<Kind extends Role['kind']>(
  table: TomlTable,
  origin: string,
  role: Kind,
  base: SettingsText,
  overlay?: SettingsText,
): Either<readonly SettingsError[], LoadedSettings<RoleOf<Kind>>> {
  const errors: SettingsError[] = [];
  const withRole = {...table, [role]: isTable(table[role]) ? table[role] : {}};
  const whole = completeTable(withRole, settingsShape, '', origin, errors);
  if (errors.length > 0) return Left(errors);
  errors.push(...findConflicts(whole, role).map(each => ({...each, origin})));
  if (errors.length > 0) return Left(errors);
  const {site} = whole.process;
  return extractSource(
    base.settings,
    overlay === undefined ? {} : {[site]: overlay.settings},
  )
    .chain(checkSource)
    .map(configuration => ({
      process: toProcess(whole, toRole(whole, role) as RoleOf<Kind>),
      configuration,
    }));
}

type WholeSettings = ValueOf<typeof settingsShape>;

interface Conflict {
  readonly kind: 'wrong-value';
  readonly key: string;
  readonly expected: string;
  readonly found: string;
}

/** Finds settings that are valid one by one but not together. */
function findConflicts(
  whole: WholeSettings,
  role: Role['kind'],
): readonly Conflict[] {
  const conflicts: Conflict[] = [];
  const demand = (
    holds: boolean,
    key: string,
    expected: string,
    found: unknown,
  ) => {
    if (holds) return;
    conflicts.push({
      kind: 'wrong-value',
      key,
      expected,
      found: found === undefined ? 'nothing' : describeValue(found),
    });
  };
  const {process, leases, agent, control} = whole;
  demand(
    (process.role ?? role) === role,
    'process.role',
    `"${role}", the role that the command starts`,
    process.role,
  );
  demand(
    role === 'control' || process.controls !== undefined,
    'process.controls',
    dialAddresses.expected,
    process.controls,
  );
  const shortestLeaseMs = Math.min(
    leases.entry_lease_ms,
    leases.target_lease_ms,
  );
  const maxRenewalMs = Math.floor(
    (shortestLeaseMs - leases.clock_margin_ms) / 2,
  );
  demand(
    leases.renewal_interval_ms <= maxRenewalMs,
    'leases.renewal_interval_ms',
    `at most ${maxRenewalMs}, so that two renewals fit the shortest lease less clock_margin_ms`,
    leases.renewal_interval_ms,
  );
  if (role === 'agent') {
    demand(
      (agent?.executor === undefined) !== (agent?.worker === undefined),
      'agent',
      'exactly one of the tables [agent.executor] and [agent.worker]',
      agent,
    );
  }
  if (role === 'control' && control?.join) {
    demand(
      process.controls !== undefined,
      'process.controls',
      `${dialAddresses.expected} of the group to join`,
      process.controls,
    );
  }
  if (role === 'control' && control?.join === false) {
    demand(
      control.members?.some(each => each.member === process.id) ?? false,
      'control.members',
      `a member "${process.id}", which is this process, or join = true`,
      control.members,
    );
  }
  return conflicts;
}

function toProcess<OneRole extends Role>(
  whole: WholeSettings,
  role: OneRole,
): ProcessSettings<OneRole> {
  const {process, metrics} = whole;
  return {
    id: process.id,
    place: {
      site: process.site,
      region: process.region,
      failureDomain: process.failure_domain,
      rack: process.rack,
    },
    controls:
      process.controls ??
      (whole.control?.members ?? []).map(({address}) => address),
    logLevel: process.log_level,
    ...(metrics !== undefined && {metrics}),
    leases: toLeases(whole),
    role,
  };
}

function toLeases({leases}: WholeSettings): LeaseSettings {
  return {
    entryLeaseMs: leases.entry_lease_ms,
    targetLeaseMs: leases.target_lease_ms,
    renewalIntervalMs: leases.renewal_interval_ms,
    clockMarginMs: leases.clock_margin_ms,
  };
}

function toRole(whole: WholeSettings, role: Role['kind']): Role {
  switch (role) {
    case 'entry': {
      const {http, listen, drain_ms} = whole.entry!;
      return {kind: 'entry', http, listen, drainMs: drain_ms};
    }
    case 'agent': {
      const {listen, service, url, drain_ms} = whole.agent!;
      const capacity = toCapacity(whole);
      return {kind: 'agent', listen, service, capacity, url, drainMs: drain_ms};
    }
    case 'control': {
      const {listen, data, members, join} = whole.control!;
      return {kind: 'control', listen, data, members: members ?? [], join};
    }
  }
}

function toCapacity({agent}: WholeSettings): Capacity {
  if (agent?.executor !== undefined) {
    const {slots, max_connections} = agent.executor;
    return {kind: 'executor', slots, maxConnections: max_connections};
  }
  const {cores, memory_mb, accelerators} = agent!.worker!;
  return {kind: 'worker', cores, memoryMb: memory_mb, accelerators};
}
