import type {Configuration, ServiceConfig, TeamConfig} from '#model';
import type {TomlTable} from './document.js';
import {listTableKeys} from './listing.js';
import {renderValue} from './value.js';

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
  before: unknown,
  after: unknown,
): readonly string[] {
  if (before === undefined) return [`+ ${key} = ${renderValue(after)}`];
  if (after === undefined) return [`- ${key} = ${renderValue(before)}`];
  const [old, fresh] = [renderValue(before), renderValue(after)];
  return old === fresh ? [] : [`~ ${key} = ${old} -> ${fresh}`];
}

/** Lists every key of a configuration, as its TOML texts name it, with its value. */
export function listKeys(
  configuration: Configuration,
): ReadonlyMap<string, unknown> {
  const {services, teams, regions, limits} = configuration;
  return new Map(
    listTableKeys({
      limits: toSnakeCase(limits),
      services: toNamed(services, listServiceKeys),
      teams: toNamed(teams, listTeamKeys),
      regions: toNamed(regions, ({entries}) => ({entries})),
    }),
  );
}

function toNamed<Each extends {readonly name: string}>(
  all: readonly Each[],
  list: (each: Each) => TomlTable,
): TomlTable {
  return Object.fromEntries(all.map(each => [each.name, list(each)]));
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

function toSnakeCase(fields: object): TomlTable {
  return Object.fromEntries(
    Object.entries(fields).map(([key, value]) => [
      key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`),
      value,
    ]),
  );
}
