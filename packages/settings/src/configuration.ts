import {type Either, Left, Right} from 'purify-ts';
import {stringify} from 'smol-toml';
import type {
  Configuration,
  ConfigurationSource,
  PlacementPolicy,
  QueueConfig,
  ServiceConfig,
  SiteName,
  TeamConfig,
} from '#model';
import {checkDocument, completeTable} from './check.js';
import {describeValue} from './value.js';
import {type Document, parseDocument, type SourceText} from './document.js';
import type {SettingsError} from './error.js';
import {name as nameType} from './value-types.js';
import {
  collectErrors,
  failOnErrors,
  mergeOverlay,
  parseLayers,
} from './layers.js';
import {
  configurationShape,
  processTables,
  type queueTable,
  type serviceTable,
  type teamTable,
} from './layout.js';
import type {ValueOf} from './shape.js';

const baseOrigin = 'base file';

function formatOverlayOrigin(site: SiteName): string {
  return `overlay "${site}"`;
}

/** Parses the configuration of a site: the base merged with that site's overlay, if any. */
export function parseConfiguration(
  source: ConfigurationSource,
  site: SiteName,
): Either<readonly SettingsError[], Configuration> {
  return parseLayers(
    getBase(source),
    findOverlay(source, site),
    configurationShape,
  ).chain(completeConfiguration);
}

/** Checks the base alone and merged with each overlay; fails with every error found. */
export function checkConfigurationSource(
  source: ConfigurationSource,
): Either<readonly SettingsError[], ConfigurationSource> {
  return parseDocument(getBase(source)).chain(base => {
    const sites = Object.keys(source.overlays);
    const baseErrors = [
      ...sites.flatMap(checkSiteName),
      ...checkDocument(base, configurationShape, {kind: 'base'}),
    ];
    const layers = sites.map(site =>
      mergeOverlay(base, findOverlay(source, site), configurationShape),
    );
    const errors = [Right(base), ...layers].flatMap(layer =>
      collectErrors(
        baseErrors.length > 0 ? layer : layer.chain(completeConfiguration),
      ),
    );
    return failOnErrors([...baseErrors, ...errors], source);
  });
}

function getBase({base}: ConfigurationSource): SourceText {
  return {text: base, origin: baseOrigin};
}

function findOverlay(
  {overlays}: ConfigurationSource,
  site: SiteName,
): SourceText | undefined {
  if (!Object.hasOwn(overlays, site)) return undefined;
  return {text: overlays[site]!, origin: formatOverlayOrigin(site)};
}

function checkSiteName(site: string): readonly SettingsError[] {
  return nameType.codec.decode(site).caseOf({
    Left: () => [
      {
        kind: 'wrong-value',
        origin: formatOverlayOrigin(site),
        key: 'site',
        expected: nameType.expected,
        found: describeValue(site),
      },
    ],
    Right: () => [],
  });
}

function completeConfiguration({
  origin,
  table,
}: Document): Either<readonly SettingsError[], Configuration> {
  const errors: SettingsError[] = [];
  const completed = completeTable(
    table,
    configurationShape,
    '',
    origin,
    errors,
  );
  if (errors.length > 0) return Left(errors);
  const conflicts = [
    ...findHomeRegionErrors(completed, origin),
    ...findQueueConflicts(completed, origin),
  ];
  if (conflicts.length > 0) return Left(conflicts);
  return Right({
    services: completed.services.map(({name, value}) => toService(name, value)),
    teams: completed.teams.map(({name, value}) => toTeam(name, value)),
    regions: completed.regions.map(({name, value: {entries}}) => ({
      name,
      entries,
    })),
    queues: completed.queues.map(({name, value}) => toQueue(name, value)),
    limits: {
      maxTasksPerJob: completed.limits.max_tasks_per_job,
      maxBodyBytes: completed.limits.max_body_bytes,
      maxDeadlineMs: completed.limits.max_deadline_ms,
      retentionMs: completed.limits.retention_ms,
      unrepeatableRetentionMs: completed.limits.unrepeatable_retention_ms,
      maxQueuedTasks: completed.limits.max_queued_tasks,
    },
  });
}

/** Finds the teams whose home region is not defined, when any regions are. */
function findHomeRegionErrors(
  {regions, teams}: ValueOf<typeof configurationShape>,
  origin: string,
): readonly SettingsError[] {
  if (regions.length === 0) return [];
  const regionNames = regions.map(({name}) => name);
  const expected = `one of the regions ${regionNames.map(each => `"${each}"`).join(', ')}`;
  return teams
    .filter(({value}) => !regionNames.includes(value.home_region ?? ''))
    .map(({name, value: {home_region: home}}) => {
      const key = `teams.${name}.home_region`;
      if (home === undefined) {
        return {kind: 'missing-key', origin, key, expected};
      }
      const found = describeValue(home);
      return {kind: 'wrong-value', origin, key, expected, found};
    });
}

/** Finds queues of undefined services, and queues with the same host and path, by which a request selects its queue. */
function findQueueConflicts(
  {queues, services}: ValueOf<typeof configurationShape>,
  origin: string,
): readonly SettingsError[] {
  const serviceNames = new Set(services.map(({name}) => name));
  const queuesByHostAndPath = new Map<string, string>();
  const errors: SettingsError[] = [];
  const reportError = (key: string, expected: string, found: unknown) =>
    errors.push({
      kind: 'wrong-value',
      origin,
      key,
      expected,
      found: describeValue(found),
    });
  for (const {name, value: queue} of queues) {
    if (!serviceNames.has(queue.service)) {
      reportError(
        `queues.${name}.service`,
        'a described service',
        queue.service,
      );
    }
    const hostAndPath = `${queue.host} ${queue.path}`;
    const otherQueue = queuesByHostAndPath.get(hostAndPath);
    if (otherQueue !== undefined) {
      reportError(
        `queues.${name}.path`,
        `another host or path than those of queue "${otherQueue}"`,
        queue.path,
      );
    }
    queuesByHostAndPath.set(hostAndPath, name);
  }
  return errors;
}

function toQueue(name: string, queue: ValueOf<typeof queueTable>): QueueConfig {
  return {
    name,
    service: queue.service,
    host: queue.host,
    path: queue.path,
    priority: queue.priority,
    maxAttempts: queue.max_attempts,
    timeoutMs: queue.timeout_ms,
    objective: {stretch: queue.stretch, slackMs: queue.slack_ms},
    ...(queue.late_jobs !== 'serve' && {lateJobs: queue.late_jobs}),
    ...(queue.urgent_runs !== 'wait' && {urgentRuns: queue.urgent_runs}),
  };
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
 * Extracts the configuration from texts that may also hold process tables. A text without
 * process tables is kept verbatim; otherwise the remaining tables are serialized again. Unknown
 * keys are kept, so that `checkConfigurationSource` reports them. Overlays that are blank afterwards are omitted.
 */
export function extractConfigurationSource(
  baseText: string,
  overlays: Readonly<Record<SiteName, string>>,
): Either<readonly SettingsError[], ConfigurationSource> {
  const errors: SettingsError[] = [];
  const extractOne = (source: SourceText) =>
    removeProcessTables(source)
      .ifLeft(found => errors.push(...found))
      .orDefault('');
  const base = extractOne({text: baseText, origin: baseOrigin});
  const kept = Object.entries(overlays)
    .map(
      ([site, text]) =>
        [site, extractOne({text, origin: formatOverlayOrigin(site)})] as const,
    )
    .filter(([, text]) => text.trim() !== '');
  return failOnErrors(errors, {base, overlays: Object.fromEntries(kept)});
}

function removeProcessTables(
  source: SourceText,
): Either<readonly SettingsError[], string> {
  return parseDocument(source).map(({table}) => {
    const kept = Object.entries(table).filter(
      ([key]) => !processTables.includes(key),
    );
    if (kept.length === Object.keys(table).length) return source.text;
    return kept.length === 0 ? '' : stringify(Object.fromEntries(kept));
  });
}
