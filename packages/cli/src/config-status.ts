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

/** A process and the version that it has in force; unset while it has not reported to the leader. */
export interface ProcessVersion extends Omit<ProcessConfigStatus, 'version'> {
  readonly version?: number;
}

/** What is in force where. */
export interface InForce {
  readonly current: VersionedSource;
  /** Every process that control knows, also one that has not reported. */
  readonly processes: readonly ProcessVersion[];
  /** Every other region of the configuration. */
  readonly regions: readonly RegionInForce[];
  /** Set when the group that was asked follows another. */
  readonly upstream?: UpstreamStatus;
}

/** A region that follows the group that was asked; without a report, only its name is known. */
export type RegionInForce =
  RegionStatus | {readonly region: string; readonly version?: undefined};

/** Asks the leader what was accepted. */
export function fetchConfigStatus(
  client: ControlClient,
  deadline: Instant,
): Promise<Either<RemoteFailure, ConfigStatus>> {
  return client.read('control.configStatus', {}, deadline);
}

/** Asks the leader what is in force where, and a replica which processes there are. */
export async function fetchInForce(
  client: ControlClient,
  deadline: Instant,
): Promise<Either<RemoteFailure, InForce>> {
  const status = await fetchConfigStatus(client, deadline);
  if (status.isLeft()) return status;
  const known = await client.readStatus(deadline);
  return status.chain(found =>
    known.map(system => ({
      current: found.current,
      processes: mergeKnown(found, system),
      regions: found.upstream === undefined ? listRegions(found) : [],
      ...(found.upstream !== undefined && {upstream: found.upstream}),
    })),
  );
}

/** Lists the processes and regions where a version is not yet in force, as far as is reported. */
export function listLagging(
  {processes, regions}: InForce,
  version: number,
): readonly string[] {
  return [
    ...processes
      .filter(each => (each.version ?? -1) < version)
      .map(({process}) => process),
    ...regions
      .filter(each => !hasVersion(each, version))
      .map(({region}) => `region ${region}`),
  ];
}

function hasVersion(status: RegionInForce, version: number): boolean {
  if (status.version === undefined) return false;
  return status.lowest >= version && status.silent === 0;
}

function listRegions({
  region: own,
  current,
  regions,
}: ConfigStatus): readonly RegionInForce[] {
  const named = parseConfiguration({...current.source, overlays: {}}, '')
    .map(configuration => configuration.regions.map(({name}) => name))
    .orDefault([]);
  const silent = named
    .filter(name => name !== own && !regions.some(each => each.region === name))
    .map(region => ({region}));
  return [...regions, ...silent];
}

function mergeKnown(
  {processes}: ConfigStatus,
  {members, entries, targets}: ControlStatus,
): readonly ProcessVersion[] {
  const known: readonly ProcessVersion[] = [
    ...members.map(({member}) => ({process: member, role: 'control'}) as const),
    ...entries.map(({entry}) => ({process: entry, role: 'entry'}) as const),
    ...targets.map(({target}) => ({process: target, role: 'agent'}) as const),
  ];
  const silent = known.filter(
    each =>
      !processes.some(
        ({process, role}) => process === each.process && role === each.role,
      ),
  );
  return [...processes, ...silent];
}
