import type {
  Configuration,
  QueueConfig,
  ServiceConfig,
  TeamConfig,
} from '#model';
import type {TomlTable} from './document.js';
import {listTableKeys} from './keys.js';
import {renderValue} from './value.js';

/**
 * Lists the changes from one configuration to another, one line per key, sorted:
 * `+ key = value` for an added key, `- key = value` for a removed one and
 * `~ key = old -> new` for a changed one. Keys are those of the TOML texts.
 */
export function diffConfiguration(
  before: Configuration,
  after: Configuration,
): readonly string[] {
  const oldValues = listConfigurationKeys(before);
  const newValues = listConfigurationKeys(after);
  return [...new Set([...oldValues.keys(), ...newValues.keys()])]
    .sort()
    .flatMap(key =>
      describeChange(key, oldValues.get(key), newValues.get(key)),
    );
}

function describeChange(
  key: string,
  before: unknown,
  after: unknown,
): readonly string[] {
  if (before === undefined) return [`+ ${key} = ${renderValue(after)}`];
  if (after === undefined) return [`- ${key} = ${renderValue(before)}`];
  const [oldText, newText] = [renderValue(before), renderValue(after)];
  return oldText === newText ? [] : [`~ ${key} = ${oldText} -> ${newText}`];
}

/** Lists the keys of a configuration, as spelled in TOML, with their values. */
export function listConfigurationKeys(
  configuration: Configuration,
): ReadonlyMap<string, unknown> {
  const {services, teams, regions, queues, limits} = configuration;
  return new Map(
    listTableKeys({
      limits: toSnakeCase(limits),
      services: toNamedTables(services, listServiceKeys),
      teams: toNamedTables(teams, listTeamKeys),
      regions: toNamedTables(regions, ({entries}) => ({entries})),
      queues: toNamedTables(queues, listQueueKeys),
    }),
  );
}

function toNamedTables<Each extends {readonly name: string}>(
  all: readonly Each[],
  listKeysOf: (each: Each) => TomlTable,
): TomlTable {
  return Object.fromEntries(all.map(each => [each.name, listKeysOf(each)]));
}

function listServiceKeys(service: ServiceConfig): TomlTable {
  const {placement, demand, maxTaskMs, maxPlacements} = service;
  return {
    objective: service.objective.kind,
    placement: placement?.kind,
    probes_per_task:
      placement?.kind === 'probe' ? placement.probesPerTask : undefined,
    ...toSnakeCase({maxTaskMs, maxPlacements}),
    demand: toSnakeCase(demand),
  };
}

function listTeamKeys(team: TeamConfig): TomlTable {
  const {homeRegion, tasksPerSecond, burstTasks, weight} = team;
  return toSnakeCase({homeRegion, tasksPerSecond, burstTasks, weight});
}

function listQueueKeys(queue: QueueConfig): TomlTable {
  const {service, host, path, priority, maxAttempts, timeoutMs} = queue;
  const {objective, lateJobs = 'serve', urgentRuns = 'wait'} = queue;
  return toSnakeCase({
    service,
    host,
    path,
    priority,
    maxAttempts,
    timeoutMs,
    ...objective,
    lateJobs,
    urgentRuns,
  });
}

function toSnakeCase(fields: object): TomlTable {
  return Object.fromEntries(
    Object.entries(fields).map(([key, value]) => [
      key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`),
      value,
    ]),
  );
}
