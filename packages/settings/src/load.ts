import {type Either, Left, Right} from 'purify-ts';
import type {Capacity, ConfigurationSource} from '#model';
import {completeTable} from './check.js';
import {findConflicts, type WholeSettings} from './conflict.js';
import {checkSource, extractSource} from './configuration.js';
import {type Document, isTable, readText, type SourceText} from './document.js';
import type {SettingsError} from './error.js';
import {parseLayers} from './layers.js';
import {settingsShape} from './layout.js';
import {listTableKeys} from './listing.js';
import type {LeaseSettings, ProcessSettings, Role} from './process.js';

/** A process's settings and the configuration that its files state. */
export interface LoadedSettings<OneRole extends Role = Role> {
  readonly process: ProcessSettings<OneRole>;
  readonly configuration: ConfigurationSource;
  /** Every process key that holds for the role, defaults included. */
  readonly keys: ReadonlyMap<string, unknown>;
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
  return readFiles(files).chain(texts => parseProcessSettings(texts, role));
}

/** Tells which role a process's files are for: `process.role`, or the one role whose table they hold. */
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

/** The texts of a process's files. */
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
    overlay.map(over => ({settings: text, overlay: over})),
  );
}

function readSource(
  file: string,
  what: string,
): Either<readonly SettingsError[], SourceText> {
  const origin = `${what} "${file}"`;
  return readText(file, origin).map(text => ({text, origin}));
}

/** Parses the settings of a process from texts; fails with every error found. */
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
  const withRole = {...table, [role]: isTable(table[role]) ? table[role] : {}};
  const whole = completeTable(withRole, settingsShape, '', origin, errors);
  if (errors.length > 0) return Left(errors);
  const conflicts = findConflicts(whole, role, origin);
  if (conflicts.length > 0) return Left(conflicts);
  const {site} = whole.process;
  return extractSource(
    settings.text,
    overlay === undefined ? {} : {[site]: overlay.text},
  )
    .chain(checkSource)
    .map(configuration => ({
      process: toProcess(whole, toRole(whole, role) as RoleOf<Kind>),
      configuration,
      keys: listProcessKeys(whole, role),
    }));
}

function listProcessKeys(
  whole: WholeSettings,
  role: Role['kind'],
): ReadonlyMap<string, unknown> {
  const {process, leases, metrics} = whole;
  const tables = {process, leases, metrics, [role]: whole[role]};
  return new Map(listTableKeys(tables));
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
      const {http, listen, advertise, drain_ms} = whole.entry!;
      return {
        kind: 'entry',
        http,
        listen,
        ...(advertise !== undefined && {advertise}),
        drainMs: drain_ms,
      };
    }
    case 'agent': {
      const {listen, advertise, service, url, drain_ms} = whole.agent!;
      return {
        kind: 'agent',
        listen,
        ...(advertise !== undefined && {advertise}),
        service,
        capacity: toCapacity(whole),
        url,
        drainMs: drain_ms,
      };
    }
    case 'control': {
      const {listen, data, members, join, upstream} = whole.control!;
      return {
        kind: 'control',
        listen,
        data,
        members: members ?? [],
        join,
        ...(upstream !== undefined && {upstream}),
      };
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
