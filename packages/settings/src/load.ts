import {type Either, Left, Right} from 'purify-ts';
import type {Capacity, ConfigurationSource} from '#model';
import {completeTable} from './check.js';
import {findConflicts, type CompletedSettings} from './conflict.js';
import {
  checkConfigurationSource,
  extractConfigurationSource,
} from './configuration.js';
import {type Document, isTable, readText, type SourceText} from './document.js';
import type {SettingsError} from './error.js';
import {parseLayers} from './layers.js';
import {settingsShape} from './layout.js';
import {listTableKeys} from './keys.js';
import type {IntakeSettings} from './intake.js';
import type {LeaseSettings, ProcessSettings, Role} from './process.js';

/** The settings of a process and the configuration that its files contain. */
export interface LoadedSettings<OneRole extends Role = Role> {
  readonly process: ProcessSettings<OneRole>;
  readonly intake: IntakeSettings;
  readonly configuration: ConfigurationSource;
  /** Every process setting that applies to the role, defaults included, by key path. */
  readonly keys: ReadonlyMap<string, unknown>;
}

/** The files that hold the settings of one process. */
export interface SettingsFiles {
  readonly settings: string;
  /** Holds only differences; merged onto `settings`. */
  readonly overlay?: string;
}

export type RoleOf<Kind extends Role['kind']> = Extract<
  Role,
  {readonly kind: Kind}
>;

/** Loads and checks the settings of a process; fails with all errors found. */
export function loadProcessSettings<Kind extends Role['kind']>(
  files: SettingsFiles,
  role: Kind,
): Either<readonly SettingsError[], LoadedSettings<RoleOf<Kind>>> {
  return readFiles(files).chain(texts => parseProcessSettings(texts, role));
}

/** Determines the role of a process from its files: `process.role`, or the only role whose table they contain. */
export function loadRole(
  files: SettingsFiles,
): Either<readonly SettingsError[], Role['kind']> {
  return readFiles(files)
    .chain(({settings, overlay}) =>
      parseLayers(settings, overlay, settingsShape),
    )
    .chain(findRole);
}

const roleKinds = ['control', 'entry', 'agent'] as const;

function findRole({
  table,
  origin,
}: Document): Either<readonly SettingsError[], Role['kind']> {
  const stated = isTable(table.process) ? table.process.role : undefined;
  const candidates = roleKinds.filter(kind =>
    stated === undefined ? isTable(table[kind]) : stated === kind,
  );
  if (candidates.length === 1) return Right(candidates[0]!);
  return Left([
    {
      kind: 'missing-key',
      origin,
      key: 'process.role',
      expected:
        'one of "control", "entry", "agent", as the files do not hold the table of just one role',
    },
  ]);
}

/** The contents of the settings files of one process. */
export interface SettingsTexts {
  readonly settings: SourceText;
  readonly overlay?: SourceText;
}

function readFiles(
  files: SettingsFiles,
): Either<readonly SettingsError[], SettingsTexts> {
  const settings = readSource(files.settings, 'settings');
  if (files.overlay === undefined) {
    return settings.map(text => ({settings: text}));
  }
  const overlay = readSource(files.overlay, 'overlay');
  return settings.chain(text =>
    overlay.map(overlayText => ({settings: text, overlay: overlayText})),
  );
}

function readSource(
  file: string,
  label: string,
): Either<readonly SettingsError[], SourceText> {
  const origin = `${label} "${file}"`;
  return readText(file, origin).map(text => ({text, origin}));
}

/** Parses the settings of a process from texts; fails with all errors found. */
export function parseProcessSettings<Kind extends Role['kind']>(
  texts: SettingsTexts,
  role: Kind,
): Either<readonly SettingsError[], LoadedSettings<RoleOf<Kind>>> {
  return parseLayers(texts.settings, texts.overlay, settingsShape).chain(
    document => completeSettings(document, role, texts),
  );
}

function completeSettings<Kind extends Role['kind']>(
  {table, origin}: Document,
  role: Kind,
  {settings, overlay}: SettingsTexts,
): Either<readonly SettingsError[], LoadedSettings<RoleOf<Kind>>> {
  const errors: SettingsError[] = [];
  // An absent role table counts as empty, so that its required keys are reported as missing.
  const tableWithRole = {
    ...table,
    [role]: isTable(table[role]) ? table[role] : {},
  };
  const completed = completeTable(
    tableWithRole,
    settingsShape,
    '',
    origin,
    errors,
  );
  if (errors.length > 0) return Left(errors);
  const conflicts = findConflicts(completed, role, origin);
  if (conflicts.length > 0) return Left(conflicts);
  const {site} = completed.process;
  return extractConfigurationSource(
    settings.text,
    overlay === undefined ? {} : {[site]: overlay.text},
  )
    .chain(checkConfigurationSource)
    .map(configuration => ({
      process: toProcessSettings(
        completed,
        toRole(completed, role) as RoleOf<Kind>,
      ),
      intake: toIntakeSettings(completed),
      configuration,
      keys: listProcessKeys(completed, role),
    }));
}

function listProcessKeys(
  settings: CompletedSettings,
  role: Role['kind'],
): ReadonlyMap<string, unknown> {
  const {process, leases, metrics, intake} = settings;
  const tables = {process, leases, metrics, intake, [role]: settings[role]};
  return new Map(listTableKeys(tables));
}

function toProcessSettings<OneRole extends Role>(
  settings: CompletedSettings,
  role: OneRole,
): ProcessSettings<OneRole> {
  const {process, metrics} = settings;
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
      (settings.control?.members ?? []).map(({address}) => address),
    logLevel: process.log_level,
    ...(metrics !== undefined && {metrics}),
    leases: toLeaseSettings(settings),
    role,
  };
}

function toLeaseSettings({leases}: CompletedSettings): LeaseSettings {
  return {
    entryLeaseMs: leases.entry_lease_ms,
    targetLeaseMs: leases.target_lease_ms,
    renewalIntervalMs: leases.renewal_interval_ms,
    clockMarginMs: leases.clock_margin_ms,
  };
}

function toIntakeSettings({intake}: CompletedSettings): IntakeSettings {
  return {
    maxHeldBytes: intake.max_held_bytes,
    maxHeldChunks: intake.max_held_chunks,
    maxBodyMs: intake.max_body_ms,
    bodyGraceMs: intake.body_grace_ms,
    minBodyBytesPerSecond: intake.min_body_bytes_per_second,
    maxHeaderMs: intake.max_header_ms,
    maxConnections: intake.max_connections,
    maxConnectionsPerAddress: intake.max_connections_per_address,
    maxPipelinedRequests: intake.max_pipelined_requests,
    maxRequests: intake.max_requests,
  };
}

function toRole(settings: CompletedSettings, role: Role['kind']): Role {
  switch (role) {
    case 'entry': {
      const {http, listen, advertise, drain_ms} = settings.entry!;
      return {
        kind: 'entry',
        http,
        listen,
        ...(advertise !== undefined && {advertise}),
        drainMs: drain_ms,
      };
    }
    case 'agent': {
      const {listen, advertise, service, url, drain_ms} = settings.agent!;
      return {
        kind: 'agent',
        listen,
        ...(advertise !== undefined && {advertise}),
        service,
        capacity: toCapacity(settings),
        url,
        drainMs: drain_ms,
      };
    }
    case 'control': {
      const {listen, data, members, join, voters, upstream} = settings.control!;
      return {
        kind: 'control',
        listen,
        data,
        members: members ?? [],
        join,
        ...(voters !== undefined && {voters}),
        ...(upstream !== undefined && {upstream}),
      };
    }
  }
}

function toCapacity({agent}: CompletedSettings): Capacity {
  if (agent?.executor !== undefined) {
    const {slots, max_connections} = agent.executor;
    return {kind: 'executor', slots, maxConnections: max_connections};
  }
  const {cores, memory_mb, accelerators} = agent!.worker!;
  return {kind: 'worker', cores, memoryMb: memory_mb, accelerators};
}
