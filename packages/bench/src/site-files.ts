import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {stringify} from 'smol-toml';
import {type Address, type Capacity, failUnreachable} from '#model';
import type {MemberPlan} from './member.js';
import type {SiteOptions, TargetOptions} from './site-options.js';

type TomlTable = Readonly<Record<string, unknown>>;

const site = 'gilgit';
const failureDomains = ['north', 'east', 'south'];
const targetsPerRack = 3;

/** Addresses of other processes that settings files name. */
export interface SiteAddresses {
  readonly controls: readonly MemberPlan[];
  /** The address at which each entry serves callers, by index. */
  readonly http: readonly Address[];
  /** The URL of each target's stand-in, by index. */
  readonly standIns: readonly string[];
}

/** Writes a process's settings file; `index` counts the processes of its role. */
export function writeSettings(
  options: SiteOptions,
  addresses: SiteAddresses,
  plan: MemberPlan,
  index: number,
): void {
  const advertise =
    plan.advertise === plan.listen ? {} : {advertise: plan.advertise};
  const listen = {listen: plan.listen};
  const drain = {drain_ms: options.drainMs};
  const describeRole = (): TomlTable => {
    switch (plan.role) {
      case 'control':
        return {
          control: {
            ...listen,
            data: join(options.data, plan.name),
            ...(plan.joins
              ? {join: true}
              : {members: listMembers(addresses.controls)}),
            ...(options.upstream && {upstream: [...options.upstream]}),
          },
        };
      case 'entry':
        return {
          entry: {
            http: addresses.http[index],
            ...listen,
            ...advertise,
            ...drain,
          },
        };
      case 'agent': {
        const target = options.targets[index]!;
        return {
          agent: {
            ...listen,
            ...advertise,
            ...drain,
            service: target.service,
            url: addresses.standIns[index],
            ...describeCapacity(target.capacity),
          },
        };
      }
      default:
        return failUnreachable(plan.role);
    }
  };
  const tables = {
    process: {
      id: plan.name,
      role: plan.role,
      site,
      region: options.region,
      failure_domain: failureDomains[index % failureDomains.length],
      rack: `rack-${Math.floor(index / targetsPerRack)}`,
      controls: addresses.controls.map(({advertise: address}) => address),
      log_level: options.logLevel,
    },
    leases: options.leases,
    ...describeRole(),
    ...options.configuration,
  };
  writeFileSync(plan.settings, stringify(tables));
}

function listMembers(controls: readonly MemberPlan[]): readonly TomlTable[] {
  return controls.map(({name, advertise: address}) => ({
    member: name,
    address,
  }));
}

/** Writes the file that holds only the configuration, as an operator edits it. */
export function writeBaseFile(options: SiteOptions): string {
  const path = join(options.data, 'base.toml');
  writeFileSync(path, stringify(options.configuration));
  return path;
}

/** Writes the options file of the stand-ins' process. */
export function writeStandInFile(
  options: SiteOptions,
  names: readonly string[],
  ports: readonly number[],
  journal: string,
): string {
  const path = join(options.data, 'standins.json');
  const describeOne = ({capacity, behaviour}: TargetOptions, i: number) => ({
    target: names[i],
    port: ports[i],
    capacity,
    temper: behaviour,
    usageLagMs: options.usageLagMs,
  });
  const standIns = options.targets.map(describeOne);
  writeFileSync(path, JSON.stringify({journal, standIns}));
  return path;
}

function describeCapacity(capacity: Capacity): TomlTable {
  switch (capacity.kind) {
    case 'executor':
      return {
        executor: {
          slots: capacity.slots,
          max_connections: capacity.maxConnections,
        },
      };
    case 'worker':
      return {
        worker: {
          cores: capacity.cores,
          memory_mb: capacity.memoryMb,
          accelerators: capacity.accelerators,
        },
      };
    default:
      return failUnreachable(capacity);
  }
}
