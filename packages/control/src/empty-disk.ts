import {readdir} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Address, ControlId} from '#model';
import {computeQuorum} from '#consensus';
import type {ControlStatus} from '#protocol';
import type {ControlRole} from '#settings';

const askIntervalMs = 100;

/** A replica that is about to start on an empty data folder. */
export interface EmptyDiskCheckOptions {
  readonly id: ControlId;
  readonly role: ControlRole;
  /** Where the members, and any other known replicas, listen. */
  readonly addresses: readonly Address[];
  readonly askStatus: (address: Address) => Promise<ControlStatus | undefined>;
  readonly cancel?: AbortSignal;
}

/** True when the folder is missing or empty. */
export async function isEmptyFolder(folder: string): Promise<boolean> {
  const names = await readdir(folder).catch(() => []);
  return names.length === 0;
}

/**
 * Prevents a replica from starting under an id whose disk was lost: without its log and its votes it
 * could help to elect a leader that lacks committed entries. A member of a new group queries the
 * others until those that answered make a quorum with it; fewer could not elect a leader anyway. A
 * replica that joins a group queries them once and needs no answer.
 * Returns why the replica may not start; undefined when it may.
 */
export async function checkEmptyDisk({
  id,
  role,
  addresses,
  askStatus,
  cancel,
}: EmptyDiskCheckOptions): Promise<string | undefined> {
  const voters = new Set([id, ...role.members.map(({member}) => member)]);
  const needed = role.join ? 0 : computeQuorum(voters.size) - 1;
  for (;;) {
    const answers = await Promise.all(addresses.map(askStatus));
    const others = answers.filter(
      status => status !== undefined && status.member !== id,
    ) as readonly ControlStatus[];
    const recordedBy = others.find(status =>
      hasRecordOf(status, id, role.join),
    );
    if (recordedBy !== undefined) return describeRefusal(id, recordedBy.member);
    const answered = others.filter(({member}) => voters.has(member));
    if (new Set(answered.map(({member}) => member)).size >= needed) {
      return undefined;
    }
    if (cancel?.aborted) return 'stopped before the group was formed';
    await sleep(askIntervalMs);
  }
}

/** True when a status shows that the replica had log entries or, if it is joining, that it already votes. */
function hasRecordOf(
  {acknowledged, members}: ControlStatus,
  id: ControlId,
  joins: boolean,
): boolean {
  if (!joins) return acknowledged.includes(id);
  return members.some(({member, voter}) => member === id && voter);
}

function describeRefusal(id: ControlId, recordedBy: string): string {
  return (
    `the data folder is empty, but replica "${recordedBy}" has a record that "${id}" had log entries on its disk: ` +
    `remove "${id}" from the group and join under a new id`
  );
}
