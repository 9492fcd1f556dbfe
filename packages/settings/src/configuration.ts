import {type Either, Left, Right} from 'purify-ts';
import {stringify} from 'smol-toml';
import type {
  Configuration,
  ConfigurationSource,
  PlacementPolicy,
  ServiceConfig,
  SiteName,
  TeamConfig,
} from '#model';
import {checkDocument, completeTable} from './check.js';
import {describeValue} from './value.js';
import {
  type Document,
  mergeTables,
  parseDocument,
  type TomlTable,
} from './document.js';
import type {SettingsError} from './error.js';
import {name as nameKind} from './kind.js';
import {
  configurationShape,
  processTables,
  type serviceTable,
  type teamTable,
} from './layout.js';
import type {ValueOf} from './shape.js';

const baseOrigin = 'base file';

function nameOverlay(site: SiteName): string {
  return `overlay "${site}"`;
}

/** Parses what is in force at a site: the base with that site's overlay, if any, merged in. */
export function parseConfiguration(
  source: ConfigurationSource,
  site: SiteName,
): Either<readonly SettingsError[], Configuration> {
  return parseBase(source).chain(base => {
    if (!Object.hasOwn(source.overlays, site)) {
      return completeConfiguration(base.table, base.origin);
    }
    return parseOverlay(source, site, base).chain(overlay =>
      completeConfiguration(
        mergeTables(base.table, overlay.table),
        `${base.origin} with ${overlay.origin}`,
      ),
    );
  });
}

/** Checks the base alone and merged with each overlay; fails with every error found. */
export function checkSource(
  source: ConfigurationSource,
): Either<readonly SettingsError[], ConfigurationSource> {
  return parseBase(source).chain(base => {
    const sites = Object.keys(source.overlays);
    const errors = [
      ...sites.flatMap(checkSiteName),
      ...collectErrors(completeConfiguration(base.table, base.origin)),
      ...sites.flatMap(site => collectErrors(parseConfiguration(source, site))),
    ];
    return errors.length > 0 ? Left(errors) : Right(source);
  });
}

function checkSiteName(site: string): readonly SettingsError[] {
  return nameKind.codec.decode(site).caseOf({
    Left: () => [
      {
        kind: 'wrong-value',
        origin: nameOverlay(site),
        key: 'site',
        expected: nameKind.expected,
        found: describeValue(site),
      },
    ],
    Right: () => [],
  });
}

function collectErrors(
  outcome: Either<readonly SettingsError[], unknown>,
): readonly SettingsError[] {
  return outcome.swap().orDefault([]);
}

function parseBase(
  source: ConfigurationSource,
): Either<readonly SettingsError[], Document> {
  return parseDocument(source.base, baseOrigin).chain(base =>
    failOnErrors(checkDocument(base, configurationShape, {kind: 'base'}), base),
  );
}

function parseOverlay(
  source: ConfigurationSource,
  site: SiteName,
  base: Document,
): Either<readonly SettingsError[], Document> {
  return parseDocument(source.overlays[site]!, nameOverlay(site)).chain(
    overlay =>
      failOnErrors(
        checkDocument(overlay, configurationShape, {
          kind: 'overlay',
          base: base.table,
        }),
        overlay,
      ),
  );
}

/** Fails when there are errors. */
export function failOnErrors<Value>(
  errors: readonly SettingsError[],
  value: Value,
): Either<readonly SettingsError[], Value> {
  return errors.length > 0 ? Left(errors) : Right(value);
}

function completeConfiguration(
  table: TomlTable,
  origin: string,
): Either<readonly SettingsError[], Configuration> {
  const errors: SettingsError[] = [];
  const whole = completeTable(table, configurationShape, '', origin, errors);
  if (errors.length > 0) return Left(errors);
  return Right({
    services: whole.services.map(({name, value}) => toService(name, value)),
    teams: whole.teams.map(({name, value}) => toTeam(name, value)),
    limits: {
      maxTasksPerJob: whole.limits.max_tasks_per_job,
      maxBodyBytes: whole.limits.max_body_bytes,
      maxDeadlineMs: whole.limits.max_deadline_ms,
      retentionMs: whole.limits.retention_ms,
      unrepeatableRetentionMs: whole.limits.unrepeatable_retention_ms,
      maxQueuedTasks: whole.limits.max_queued_tasks,
    },
  });
}

function toService(
  name: string,
  service: ValueOf<typeof serviceTable>,
): ServiceConfig {
  const placement = toPlacement(service);
  return {
    name,
    objective: {kind: service.objective},
    ...(placement !== undefined && {placement}),
    demand: {
      cores: service.demand.cores,
      memoryMb: service.demand.memory_mb,
      accelerators: service.demand.accelerators,
    },
    maxTaskMs: service.max_task_ms,
    maxPlacements: service.max_placements,
  };
}

function toPlacement(
  service: ValueOf<typeof serviceTable>,
): PlacementPolicy | undefined {
  switch (service.placement) {
    case undefined:
      return undefined;
    case 'probe':
      return {kind: 'probe', probesPerTask: service.probes_per_task};
    case 'random':
    case 'credit':
      return {kind: service.placement};
  }
}

function toTeam(name: string, team: ValueOf<typeof teamTable>): TeamConfig {
  return {
    name,
    ...(team.home_region !== undefined && {homeRegion: team.home_region}),
    tasksPerSecond: team.tasks_per_second,
    burstTasks: team.burst_tasks ?? Math.ceil(team.tasks_per_second),
    weight: team.weight,
  };
}

/**
 * Takes the configuration out of texts that may hold process tables too. A text without
 * them is kept as written; otherwise the rest is written anew. Unknown keys stay, so that
 * `checkSource` names them. An overlay that states nothing is left out.
 */
export function extractSource(
  baseText: string,
  overlays: Readonly<Record<SiteName, string>>,
): Either<readonly SettingsError[], ConfigurationSource> {
  const errors: SettingsError[] = [];
  const extractOne = (text: string, origin: string) =>
    extractConfiguration(text, origin)
      .ifLeft(found => errors.push(...found))
      .orDefault('');
  const base = extractOne(baseText, baseOrigin);
  const kept = Object.entries(overlays)
    .map(([site, text]) => [site, extractOne(text, nameOverlay(site))] as const)
    .filter(([, text]) => text.trim() !== '');
  return failOnErrors(errors, {base, overlays: Object.fromEntries(kept)});
}

function extractConfiguration(
  text: string,
  origin: string,
): Either<readonly SettingsError[], string> {
  return parseDocument(text, origin).map(({table}) => {
    const kept = Object.entries(table).filter(
      ([key]) => !processTables.includes(key),
    );
    if (kept.length === Object.keys(table).length) return text;
    return kept.length === 0 ? '' : stringify(Object.fromEntries(kept));
  });
}
