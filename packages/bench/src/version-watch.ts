import {request} from 'undici';
import type {Address} from '#model';
import type {RequestName} from '#protocol';
import {askPeer} from './ask.js';
import type {Site} from './site.js';
import type {Member} from './member.js';
import {sleepFor} from './wait.js';

/** A process whose configuration version went back. */
export interface Regression {
  readonly process: string;
  readonly from: number;
  readonly to: number;
}

const pollIntervalMs = 200;
const askLimitMs = 1000;

/** Polls the configuration version of every process and notes where one goes back. */
export class VersionWatch implements AsyncDisposable {
  readonly regressions: Regression[] = [];
  private readonly highest = new Map<string, number>();
  private readonly rounds: Promise<void>;
  private isOver = false;

  constructor(private readonly site: Site) {
    this.rounds = Promise.all(
      site.members.map(member => this.followMember(member)),
    ).then(() => {});
  }

  /** The highest version seen at any process. */
  get highestSeen(): number {
    return Math.max(0, ...this.highest.values());
  }

  /** The lowest of the versions that the running processes showed last; 0 until each has shown one. */
  get lowestSeen(): number {
    const running = this.site.members.filter(({child}) => child.isRunning);
    const versions = running.map(
      member => this.highest.get(nameLife(member, member.pid)) ?? 0,
    );
    return Math.min(...versions);
  }

  /** Counts any version below this one as gone back from now on, at the processes named. */
  expectAtLeast(version: number, names: readonly string[]): void {
    for (const name of names) this.highest.set(name, version);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isOver = true;
    await this.rounds;
  }

  private async followMember(member: Member): Promise<void> {
    while (!this.isOver) {
      const {pid} = member;
      const version = await readVersion(this.site, member);
      if (version !== undefined && pid === member.pid) {
        this.note(nameLife(member, pid), version);
      }
      await sleepFor(pollIntervalMs);
    }
  }

  private note(name: string, version: number): void {
    const before = this.highest.get(name) ?? 0;
    if (version < before) {
      this.regressions.push({process: name, from: before, to: version});
    }
    this.highest.set(name, Math.max(before, version));
  }
}

/**
 * A replica that starts again applies its log from the start and serves nothing from it
 * before; so its version counts within one life. The other roles' counts over restarts.
 */
function nameLife({name, role}: Member, pid: number): string {
  return role === 'control' ? `${name}, pid ${pid}` : name;
}

/** Reads the version that a process serves by; undefined when it serves none or is silent. */
async function readVersion(
  site: Site,
  member: Member,
): Promise<number | undefined> {
  const {listen} = member.plan;
  switch (member.role) {
    case 'entry':
      return readEntryVersion(
        site.entryUrls[site.list('entry').indexOf(member)]!,
      );
    case 'agent':
      return readPeerVersion(listen, 'agent.status');
    case 'control':
      return readPeerVersion(listen, 'control.status');
  }
}

async function readEntryVersion(url: string): Promise<number | undefined> {
  try {
    const response = await request(`${url}/v1/status`, {
      headersTimeout: askLimitMs,
      bodyTimeout: askLimitMs,
    });
    const status = (await response.body.json()) as {
      readonly ready: boolean;
      readonly configVersion: number;
    };
    return status.ready ? status.configVersion : undefined;
  } catch {
    return undefined;
  }
}

async function readPeerVersion(
  address: Address,
  method: Extract<RequestName, 'agent.status' | 'control.status'>,
): Promise<number | undefined> {
  const status = await askPeer(address, method, {});
  const version = status?.configVersion ?? 0;
  return version > 0 ? version : undefined;
}
