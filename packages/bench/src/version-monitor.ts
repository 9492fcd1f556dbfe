import {request} from 'undici';
import type {Address} from '#model';
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
    const versions = running.map(({name}) => this.highest.get(name) ?? 0);
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
      const {name, pid} = member;
      const version = await readVersion(this.site, member);
      if (version !== undefined && pid === member.pid) {
        this.recordVersion(name, version);
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
      return readAgentVersion(listen);
    case 'control':
      return readControlVersion(listen);
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

async function readAgentVersion(address: Address): Promise<number | undefined> {
  const status = await askPeer(address, 'agent.status', {});
  const version = status?.configVersion ?? 0;
  return version > 0 ? version : undefined;
}

/**
 * Reads the version that a control replica gives to a process that has just started. A restarted
 * replica gives none until it has caught up.
 */
async function readControlVersion(
  address: Address,
): Promise<number | undefined> {
  const topics = 'configuration';
  const update = await askPeer(address, 'control.watch', {since: 0, topics});
  if (update?.kind !== 'full') return undefined;
  return update.view.configuration.version;
}
