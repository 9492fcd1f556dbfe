import type {Either} from 'purify-ts';
import type {Instant, VersionedSource} from '#model';
import type {ConfigStatus, ControlStatus, ProcessConfigStatus} from '#protocol';
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
}

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
    })),
  );
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
