import {crc32} from 'node:zlib';
import {Left} from 'purify-ts';
import type {Address} from '#model';
import {createMembers, type Members} from '#consensus';
import type {Command, CommandResult} from '#membership';
import type {ControlRole, ProcessSettings} from '#settings';
import {
  describeStoreError,
  type Disk,
  ReplicaHost,
  type StoreError,
} from '#storage';
import type {Clock} from '#model';
import type {ReplicaFailure, StartReplica} from './replica.js';
import {isEmptyFolder, checkEmptyDisk} from './empty-disk.js';

/** Creates a function that starts the replica on the data folder of the settings. */
export function createReplicaStarter(
  {id, role, controls}: ProcessSettings<ControlRole>,
  clock: Clock,
  cancel?: AbortSignal,
  disk?: Disk,
): StartReplica {
  return async ({address, machine, send, askStatus, observe, fail}) => {
    if (await isEmptyFolder(role.data)) {
      const listed = role.members.map(member => member.address);
      const addresses = [...new Set([...listed, ...controls])];
      const refusal = await checkEmptyDisk({
        id,
        role,
        addresses,
        askStatus,
        cancel,
      });
      if (refusal !== undefined) {
        return Left({kind: 'final', detail: refusal});
      }
    }
    const started = await ReplicaHost.start<Command, CommandResult>({
      folder: role.data,
      id,
      ...(role.join ? {} : {bootstrap: listFirstMembers(id, role, address)}),
      machine,
      send,
      observe,
      fail: error => fail(describeFailure(error)),
      clock,
      seed: crc32(id),
      ...(disk && {disk}),
    });
    return started.mapLeft(describeFailure);
  };
}

function describeFailure(error: StoreError): ReplicaFailure {
  const kind = error.kind === 'full' ? 'disk-full' : 'final';
  return {kind, detail: describeStoreError(error)};
}

/** Lists the voters of a new group; when the settings name no members, the replica is the only one. */
function listFirstMembers(
  id: string,
  {members}: ControlRole,
  address: Address,
): Members {
  const others = members.filter(({member}) => member !== id);
  const own = members.find(({member}) => member === id);
  const ownAddress =
    own === undefined || own.address.endsWith(':0') ? address : own.address;
  return createMembers([
    {id, address: ownAddress},
    ...others.map(other => ({id: other.member, address: other.address})),
  ]);
}
