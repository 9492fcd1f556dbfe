import type {Configuration, ServiceConfig, TeamConfig} from '#model';
import {joinKey} from './value.js';

/**
 * Lists what changes from one configuration to another, a line a key, sorted:
 * `+ key = value` for what is new, `- key = value` for what is gone,
 * `~ key = old -> new` for what changes. Keys are those of the TOML texts.
 */
export function diffConfiguration(
  before: Configuration,
  after: Configuration,
): readonly string[] {
  const old = listKeys(before);
  const fresh = listKeys(after);
  return [...new Set([...old.keys(), ...fresh.keys()])]
    .sort()
    .flatMap(key => describeChange(key, old.get(key), fresh.get(key)));
}

function describeChange(
  key: string,
  before: string | undefined,
  after: string | undefined,
): readonly string[] {
  if (before === after) return [];
  if (before === undefined) return [`+ ${key} = ${after}`];
  if (after === undefined) return [`- ${key} = ${before}`];
  return [`~ ${key} = ${before} -> ${after}`];
}

/** Lists every key of a configuration with its value as TOML writes it. */
export function listKeys(
  configuration: Configuration,
): ReadonlyMap<string, string> {
  const {services, teams, limits} = configuration;
  const tables: ReadonlyArray<readonly [string, TomlKeys]> = [
    ['limits', toSnakeCase(limits)],
    ...services.map(
      service =>
        [joinKey('services', service.name), listServiceKeys(service)] as const,
    ),
    ...teams.map(
      team => [joinKey('teams', team.name), listTeamKeys(team)] as const,
    ),
  ];
  return new Map(
    tables.flatMap(([table, keys]) =>
      Object.entries(keys)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => [`${table}.${key}`, JSON.stringify(value)]),
    ),
  );
}

type TomlKeys = Readonly<Record<string, unknown>>;

function listServiceKeys(service: ServiceConfig): TomlKeys {
  const {placement, demand, maxTaskMs, maxPlacements} = service;
  return {
    objective: service.objective.kind,
    placement: placement?.kind,
    probes_per_task:
      placement?.kind === 'probe' ? placement.probesPerTask : undefined,
    ...toSnakeCase({maxTaskMs, maxPlacements}),
    'demand.cores': demand.cores,
    'demand.memory_mb': demand.memoryMb,
    'demand.accelerators': demand.accelerators,
  };
}

function listTeamKeys(team: TeamConfig): TomlKeys {
  const {homeRegion, tasksPerSecond, burstTasks, weight} = team;
  return toSnakeCase({homeRegion, tasksPerSecond, burstTasks, weight});
}

function toSnakeCase(fields: object): TomlKeys {
  return Object.fromEntries(
    Object.entries(fields).map(([key, value]) => [
      key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`),
      value,
    ]),
  );
}
