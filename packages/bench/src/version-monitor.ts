import {request} from 'undici';
import type {Address} from '#model';
import type {RequestName} from '#protocol';
import {askPeer} from './ask.js';
import type {Site} from './site.js';
import type {Member} from './member.js';
import {sleepFor} from './wait.js';

/** A decrease of a process's configuration version. */
export interface Regression {
  readonly process: string;
  readonly from: number;
  readonly to: number;
}

const pollIntervalMs = 200;
const requestTimeoutMs = 1000;

/** Polls the configuration version of every process and records each decrease. */
export class VersionMonitor implements AsyncDisposable {
  readonly regressions: Regression[] = [];
  private readonly highest = new Map<string, number>();
  private readonly polling: Promise<void>;
  private isStopped = false;

  constructor(private readonly site: Site) {
    this.polling = Promise.all(
      site.members.map(member => this.pollMember(member)),
    ).then(() => {});
  }

  /** The highest version observed at any process. */
  get highestSeen(): number {
    return Math.max(0, ...this.highest.values());
  }

  /** The lowest of the running processes' highest versions so far; 0 until each has reported one. */
  get lowestSeen(): number {
    const running = this.site.members.filter(({child}) => child.isRunning);
    const versions = running.map(
      member => this.highest.get(nameProcess(member, member.pid)) ?? 0,
    );
    return Math.min(...versions);
  }

  /** From now on, records any version below this one as a regression at the named processes. */
  expectAtLeast(version: number, names: readonly string[]): void {
    for (const name of names) this.highest.set(name, version);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isStopped = true;
    await this.polling;
  }

  private async pollMember(member: Member): Promise<void> {
    while (!this.isStopped) {
      const {pid} = member;
      const version = await readVersion(this.site, member);
      if (version !== undefined && pid === member.pid) {
        this.recordVersion(nameProcess(member, pid), version);
      }
      await sleepFor(pollIntervalMs);
    }
  }

  private recordVersion(name: string, version: number): void {
    const previous = this.highest.get(name) ?? 0;
    if (version < previous) {
      this.regressions.push({process: name, from: previous, to: version});
    }
    this.highest.set(name, Math.max(previous, version));
  }
}

/**
 * Names the sequence of versions that may not decrease. A restarted control replica replays its
 * log from the start and serves nothing from it before that is done, so its versions are compared
 * only within one process; those of entries and agents are compared across restarts.
 */
function nameProcess({name, role}: Member, pid: number): string {
  return role === 'control' ? `${name}, pid ${pid}` : name;
}

/** Reads the configuration version in force at a process; undefined when it serves none or is silent. */
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
      headersTimeout: requestTimeoutMs,
      bodyTimeout: requestTimeoutMs,
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
