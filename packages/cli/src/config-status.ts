import type {Either} from 'purify-ts';
import type {Instant, VersionedSource} from '#model';
import type {
  ConfigStatus,
  ControlStatus,
  ProcessConfigStatus,
  RegionStatus,
  UpstreamStatus,
} from '#protocol';
import {parseConfiguration} from '#settings';
import type {ControlClient, RemoteFailure} from './control-client.js';

/** A process and the version it has in force; unset until it has reported to the leader. */
export interface ProcessVersion extends Omit<ProcessConfigStatus, 'version'> {
  readonly version?: number;
}

/** The versions in force at the processes and regions. */
export interface ConfigRollout {
  readonly current: VersionedSource;
  /** Every process known to control, including those that have not reported. */
  readonly processes: readonly ProcessVersion[];
  /** All other regions of the configuration; empty when the group follows another. */
  readonly regions: readonly RegionRollout[];
  /** Set when the queried group follows another. */
  readonly upstream?: UpstreamStatus;
}

/** A region that follows the queried group; only its name is set when it has not reported. */
export type RegionRollout =
  RegionStatus | {readonly region: string; readonly version?: undefined};

/** Reads the accepted configuration and the reports of processes and regions from the leader. */
export function fetchConfigStatus(
  client: ControlClient,
  deadline: Instant,
): Promise<Either<RemoteFailure, ConfigStatus>> {
  return client.read('control.configStatus', {}, deadline);
}

/** Reads the versions in force from the leader, and the list of processes from any replica. */
export async function fetchRollout(
  client: ControlClient,
  deadline: Instant,
): Promise<Either<RemoteFailure, ConfigRollout>> {
  const status = await fetchConfigStatus(client, deadline);
  if (status.isLeft()) return status;
  const controlStatus = await client.readStatus(deadline);
  return status.chain(found =>
    controlStatus.map(control => ({
      current: found.current,
      processes: addUnreportedProcesses(found, control),
      regions: found.upstream === undefined ? listRegions(found) : [],
      ...(found.upstream !== undefined && {upstream: found.upstream}),
    })),
  );
}

/** Lists the processes and regions that have not reported the version as in force. */
export function listLagging(
  {processes, regions}: ConfigRollout,
  version: number,
): readonly string[] {
  return [
    ...processes
      .filter(each => (each.version ?? -1) < version)
      .map(({process}) => process),
    ...regions
      .filter(each => !isInForceEverywhere(each, version))
      .map(({region}) => `region ${region}`),
  ];
}

function isInForceEverywhere(status: RegionRollout, version: number): boolean {
  if (status.version === undefined) return false;
  return status.lowest >= version && status.silent === 0;
}

function listRegions({
  region: ownRegion,
  current,
  regions,
}: ConfigStatus): readonly RegionRollout[] {
  const configuredRegions = parseConfiguration(
    {...current.source, overlays: {}},
    '',
  )
    .map(configuration => configuration.regions.map(({name}) => name))
    .orDefault([]);
  const unreported = configuredRegions
    .filter(
      name => name !== ownRegion && !regions.some(each => each.region === name),
    )
    .map(region => ({region}));
  return [...regions, ...unreported];
}

function addUnreportedProcesses(
  {processes}: ConfigStatus,
  {members, entries, targets}: ControlStatus,
): readonly ProcessVersion[] {
  const known: readonly ProcessVersion[] = [
    ...members.map(({member}) => ({process: member, role: 'control'}) as const),
    ...entries.map(({entry}) => ({process: entry, role: 'entry'}) as const),
    ...targets.map(({target}) => ({process: target, role: 'agent'}) as const),
  ];
  const unreported = known.filter(
    each =>
      !processes.some(
        ({process, role}) => process === each.process && role === each.role,
      ),
  );
  return [...processes, ...unreported];
}
