import {readdir} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Address, ControlId} from '#model';
import {computeQuorum} from '#consensus';
import type {ControlStatus} from '#protocol';
import type {ControlRole} from '#settings';

const askIntervalMs = 100;

/** A replica about to start on a folder that holds nothing. */
export interface Newcomer {
  readonly id: ControlId;
  readonly role: ControlRole;
  /** Where the members and other replicas listen. */
  readonly addresses: readonly Address[];
  readonly askStatus: (address: Address) => Promise<ControlStatus | undefined>;
  readonly cancel?: AbortSignal;
}

/** True when the folder is missing or empty. */
export async function isUnused(folder: string): Promise<boolean> {
  const names = await readdir(folder).catch(() => []);
  return names.length === 0;
}

/**
 * Refuses to start under an identity whose disk was lost: it would vote as if it had promised
 * nothing and so could undo what was committed. It asks the other members until enough have
 * answered to make a quorum with it; fewer could not elect a leader anyway.
 * Returns why the replica may not start.
 */
export async function judgeNewDisk({
  id,
  role,
  addresses,
  askStatus,
  cancel,
}: Newcomer): Promise<string | undefined> {
  const voters = new Set([id, ...role.members.map(({member}) => member)]);
  const needed = role.join ? 0 : computeQuorum(voters.size) - 1;
  for (;;) {
    const answers = await Promise.all(addresses.map(askStatus));
    const others = answers.filter(
      status => status !== undefined && status.member !== id,
    ) as readonly ControlStatus[];
    const witness = others.find(status => hasSeen(status, id, role.join));
    if (witness !== undefined) return describeRefusal(id, witness.member);
    const answered = others.filter(({member}) => voters.has(member));
    if (new Set(answered.map(({member}) => member)).size >= needed) {
      return undefined;
    }
    if (cancel?.aborted) return 'stopped before the group was formed';
    await sleep(askIntervalMs);
  }
}

function hasSeen(
  {acknowledged, members}: ControlStatus,
  id: ControlId,
  joins: boolean,
): boolean {
  if (!joins) return acknowledged.includes(id);
  return members.some(({member, voter}) => member === id && voter);
}

function describeRefusal(id: ControlId, witness: string): string {
  return (
    `the data folder is empty, but replica "${witness}" knows that "${id}" had log entries on its disk: ` +
    `remove "${id}" from the group and join under a new id`
  );
}
