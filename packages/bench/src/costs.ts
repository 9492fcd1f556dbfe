import {loadavg} from 'node:os';
import {request} from 'undici';
import type {Member, MemberRole} from './member.js';
import type {Site} from './site.js';
import {sumUsage, type Usage} from './usage.js';

/** Traffic through one role's proxies: both directions of the connections that its processes accepted. */
export interface Traffic {
  readonly messages: number;
  readonly bytes: number;
}

/** Resource use of all processes of a role. */
export interface RoleCost extends Usage, Traffic {
  /** Heap in use in MB; 0 for agents and controls, which do not report it. */
  readonly heapMb: number;
}

export type RoleCosts = Readonly<Record<MemberRole, RoleCost>>;

/** Resource use of a site over an interval; memory is as of its end. */
export interface SiteCosts {
  readonly elapsedMs: number;
  readonly roles: RoleCosts;
  readonly loadAverage: number;
}

const roles = ['entry', 'agent', 'control'] as const;
const bytesPerMb = 2 ** 20;

/** Measures the resource use of a site during an operation. */
export async function measureCosts(
  site: Site,
  operation: () => Promise<unknown>,
): Promise<SiteCosts> {
  const before = await readCosts(site);
  const startedAt = performance.now();
  await operation();
  const elapsedMs = performance.now() - startedAt;
  const after = await readCosts(site);
  return {
    elapsedMs,
    loadAverage: loadavg()[0]!,
    roles: buildRoleCosts(role => subtractCost(after[role], before[role])),
  };
}

async function readCosts(site: Site): Promise<RoleCosts> {
  const heaps = await Promise.all(site.entryUrls.map(readHeapMb));
  const heapMb = heaps.reduce((sum, heap) => sum + heap, 0);
  return buildRoleCosts(role => ({
    ...sumUsage(site.list(role).map(({pid}) => pid)),
    ...sumTraffic(site.list(role)),
    heapMb: role === 'entry' ? heapMb : 0,
  }));
}

function buildRoleCosts(build: (role: MemberRole) => RoleCost): RoleCosts {
  const [entry, agent, control] = roles.map(build);
  return {entry: entry!, agent: agent!, control: control!};
}

function subtractCost(after: RoleCost, before: RoleCost): RoleCost {
  return {
    ...after,
    cpuMs: after.cpuMs - before.cpuMs,
    messages: after.messages - before.messages,
    bytes: after.bytes - before.bytes,
  };
}

function sumTraffic(members: readonly Member[]): Traffic {
  const taps = members.flatMap(({proxy}) => (proxy ? [proxy.tap] : []));
  return {
    messages: taps.reduce((sum, tap) => sum + tap.messages, 0),
    bytes: taps.reduce((sum, tap) => sum + tap.bytes, 0),
  };
}

async function readHeapMb(url: string): Promise<number> {
  const response = await request(`${url}/v1/status`);
  const status = (await response.body.json()) as {
    readonly process: {readonly heapBytes: number};
  };
  return status.process.heapBytes / bytesPerMb;
}
