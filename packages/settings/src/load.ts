import {type Either, Left, Right} from 'purify-ts';
import type {Capacity, ConfigurationSource} from '#model';
import {checkDocument, completeTable} from './check.js';
import {findConflicts, type WholeSettings} from './conflict.js';
import {checkSource, extractSource, failOnErrors} from './configuration.js';
import {
  type Document,
  isTable,
  mergeTables,
  parseDocument,
  readText,
  type TomlTable,
} from './document.js';
import type {SettingsError} from './error.js';
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
  return readFiles(files).chain(({settings, overlay}) =>
    parseProcessSettings(settings, overlay, role),
  );
}

/** Tells which role a process's files are for: `process.role`, or the one role whose table they hold. */
export function loadRole(
  files: SettingsFiles,
): Either<readonly SettingsError[], Role['kind']> {
  return readFiles(files).chain(({settings, overlay}) =>
    parsePart(settings)
      .chain(base =>
        overlay === undefined
          ? Right(base.table)
          : parsePart(overlay, base).map(over =>
              mergeTables(base.table, over.table),
            ),
      )
      .chain(table => findRole(table, settings.origin)),
  );
}

const roleKinds = ['control', 'entry', 'agent'] as const;

function findRole(
  table: TomlTable,
  origin: string,
): Either<readonly SettingsError[], Role['kind']> {
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

interface FileTexts {
  readonly settings: SettingsText;
  readonly overlay?: SettingsText;
}

function readFiles(
  files: SettingsFiles,
): Either<readonly SettingsError[], FileTexts> {
  const settings = readOne(files.settings, 'settings');
  if (files.overlay === undefined) {
    return settings.map(text => ({settings: text}));
  }
  const overlay = readOne(files.overlay, 'overlay');
  return settings.chain(text =>
    overlay.map(over => ({settings: text, overlay: over})),
  );
}

function readOne(
  file: string,
  what: string,
): Either<readonly SettingsError[], SettingsText> {
  const origin = `${what} "${file}"`;
  return readText(file, origin).map(settings => ({settings, origin}));
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
  const conflicts = findConflicts(whole, role, origin);
  if (conflicts.length > 0) return Left(conflicts);
  const {site} = whole.process;
  return extractSource(
    base.settings,
    overlay === undefined ? {} : {[site]: overlay.settings},
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
