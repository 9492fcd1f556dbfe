import {mkdirSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Agent, request} from 'undici';
import type {Address} from '#model';
import {Child, type ChildExit} from './child.js';
import {Member, type MemberPlan, type MemberRole} from './member.js';
import {PortRange} from './ports.js';
import {FaultProxy} from './proxy.js';
import {
  type SiteAddresses,
  writeBaseFile,
  writeSettings,
  writeStandInFile,
} from './site-files.js';
import type {SiteOptions} from './site-options.js';
import {filterRole, planMember, planMembers} from './site-plan.js';
import {findSocketOwner} from './socket-owner.js';
import type {StandInCounts} from './standin.js';
import type {StandInBehaviour} from './behaviour.js';
import {waitUntil} from './wait.js';

const readyLimitMs = 30_000;
const standInProgram = fileURLToPath(
  new URL('./standin-main.js', import.meta.url),
);

/** What a site prints as one JSON line when it is ready. */
export interface SiteDescription {
  readonly entries: readonly string[];
  readonly controls: readonly Address[];
  readonly agents: readonly {readonly target: string; readonly pid: number}[];
  readonly pids: Readonly<Record<MemberRole, readonly number[]>>;
  readonly journal: string;
  readonly services: readonly string[];
  readonly teams: readonly string[];
  readonly base: string;
}

interface SiteParts {
  readonly options: SiteOptions;
  readonly ports: PortRange;
  readonly addresses: SiteAddresses;
  readonly members: Member[];
  /** Other sites; the proxies name the source of their links by region. */
  readonly peerSites: Site[];
  readonly standIns: Child;
  readonly standInUrls: readonly string[];
  readonly entryUrls: readonly string[];
  readonly journal: string;
  readonly base: string;
}

/** All processes of a site, running on loopback. Disposal stops them. */
export class Site implements AsyncDisposable {
  /** One connection per stand-in, so that its agent keeps the others of its connection limit. */
  private readonly countsClient = new Agent({connections: 1});

  private constructor(private readonly parts: SiteParts) {}

  /** Starts every process without waiting until they are ready. */
  static async start(options: SiteOptions): Promise<Site> {
    mkdirSync(options.data, {recursive: true});
    const ports =
      options.basePort === undefined
        ? PortRange.getShared()
        : PortRange.startAt(options.basePort);
    const httpPorts = await ports.takeMany(options.entries);
    const plans = await planMembers(options, ports);
    const standInPorts = await ports.takeMany(options.targets.length);
    const http = httpPorts.map(port => `127.0.0.1:${port}`);
    const standInUrls = standInPorts.map(port => `http://127.0.0.1:${port}`);
    const addresses = {
      controls: filterRole(plans, 'control'),
      http,
      standIns: standInUrls,
    };
    for (const role of memberRoles) {
      filterRole(plans, role).forEach((plan, i) =>
        writeSettings(options, addresses, plan, i),
      );
    }
    const journal = join(options.data, 'journal');
    const targetNames = filterRole(plans, 'agent').map(({name}) => name);
    const standIns = await startStandIns(
      writeStandInFile(options, targetNames, standInPorts, journal),
      join(options.data, 'standins.log'),
    );
    const members: Member[] = [];
    const peerSites: Site[] = [];
    for (const plan of plans) {
      const proxy = await openProxy(plan, members, peerSites);
      members.push(new Member(plan, options.binary, proxy));
    }
    return new Site({
      options,
      ports,
      addresses,
      members,
      peerSites,
      standIns,
      standInUrls,
      entryUrls: http.map(address => `http://${address}`),
      journal,
      base: writeBaseFile(options),
    });
  }

  get members(): readonly Member[] {
    return this.parts.members;
  }

  /** Base URLs of the entries, for callers. */
  get entryUrls(): readonly string[] {
    return this.parts.entryUrls;
  }

  get journal(): string {
    return this.parts.journal;
  }

  get options(): SiteOptions {
    return this.parts.options;
  }

  /** The configuration's base file. */
  get base(): string {
    return this.parts.base;
  }

  /** Addresses at which processes and operators dial the controls. */
  get controls(): readonly Address[] {
    return this.list('control').map(({plan}) => plan.advertise);
  }

  list(role: MemberRole): readonly Member[] {
    return this.members.filter(member => member.role === role);
  }

  find(name: string): Member {
    const member = this.members.find(one => one.name === name);
    if (member === undefined) throw new Error(`no process "${name}"`);
    return member;
  }

  /** Sends a signal to a process and waits for its exit, except with SIGSTOP and SIGCONT. */
  async kill(
    name: string,
    signal: NodeJS.Signals,
  ): Promise<ChildExit | undefined> {
    const {child} = this.find(name);
    child.kill(signal);
    if (signal === 'SIGSTOP' || signal === 'SIGCONT') return undefined;
    return child.exited;
  }

  async restart(name: string): Promise<void> {
    await this.find(name).restart();
  }

  /** Lets the proxies recognize another site's processes; their source name is its region. */
  addPeerSite(other: Site): void {
    this.parts.peerSites.push(other);
  }

  /** Starts a control replica with an empty disk; it waits to be added to the group. */
  async startLearner(name: string): Promise<Member> {
    const {options, ports, addresses, members, peerSites} = this.parts;
    const plan = await planMember(options, ports, 'control', name, true);
    writeSettings(options, addresses, plan, this.list('control').length);
    const proxy = await openProxy(plan, members, peerSites);
    const member = new Member(plan, options.binary, proxy);
    members.push(member);
    return member;
  }

  /**
   * Waits until all entries are ready and see as many targets as there are running agents; throws
   * when a process has exited.
   */
  async waitUntilReady(limitMs = readyLimitMs): Promise<void> {
    const targets = this.list('agent').filter(({child}) => child.isRunning);
    await waitUntil('the site is ready', limitMs, async () => {
      const ended = this.members.find(({child}) => !child.isRunning);
      if (ended !== undefined) await this.failEarlyExit(ended);
      const targetCounts = await Promise.all(this.entryUrls.map(countTargets));
      return targetCounts.every(count => count >= targets.length);
    });
  }

  /** Changes the behaviour of a target's stand-in. */
  async changeBehaviour(
    target: string,
    change: Partial<StandInBehaviour>,
  ): Promise<void> {
    const response = await request(`${this.findStandIn(target)}/fault`, {
      method: 'POST',
      body: JSON.stringify(change),
    });
    await response.body.dump();
  }

  /** Reads the counters of a target's stand-in. */
  async readCounts(target: string): Promise<StandInCounts> {
    const response = await request(`${this.findStandIn(target)}/counts`, {
      dispatcher: this.countsClient,
    });
    return (await response.body.json()) as StandInCounts;
  }

  describe(): SiteDescription {
    const {services, teams} = this.options.configuration;
    const listPids = (role: MemberRole) => this.list(role).map(({pid}) => pid);
    return {
      entries: this.entryUrls,
      controls: this.controls,
      agents: this.list('agent').map(({name, pid}) => ({target: name, pid})),
      pids: {
        entry: listPids('entry'),
        control: listPids('control'),
        agent: listPids('agent'),
      },
      journal: this.journal,
      services: Object.keys(services),
      teams: Object.keys(teams),
      base: this.base,
    };
  }

  /** Stops entries, then agents, then controls, then the stand-ins. */
  async [Symbol.asyncDispose](): Promise<void> {
    for (const member of this.members) member.proxy?.restore();
    for (const role of ['entry', 'agent', 'control'] as const) {
      await Promise.all(
        this.list(role).map(member => member[Symbol.asyncDispose]()),
      );
    }
    await this.countsClient.destroy();
    await this.parts.standIns.stop();
  }

  private findStandIn(target: string): string {
    const index = this.list('agent').findIndex(({name}) => name === target);
    return this.parts.standInUrls[index]!;
  }

  private async failEarlyExit(member: Member): Promise<never> {
    const exit = await member.child.exited;
    throw new Error(
      `${member.name} exited before the site was ready (${JSON.stringify(exit)}), see ${member.plan.log}`,
    );
  }
}

const memberRoles = ['control', 'entry', 'agent'] as const;

/** Opens a process's proxy, if planned. It finds the dialling process by the owner of its socket. */
async function openProxy(
  plan: MemberPlan,
  members: readonly Member[],
  peerSites: readonly Site[],
): Promise<FaultProxy | undefined> {
  if (plan.advertise === plan.listen) return undefined;
  return FaultProxy.listen(
    Number(plan.advertise.split(':')[1]),
    plan.listen,
    connection => {
      const sources = [
        ...members.map(({pid, name}) => ({pid, name})),
        ...peerSites.flatMap(({members: all, options}) =>
          all.map(({pid}) => ({pid, name: options.region})),
        ),
      ];
      const pids = sources.map(({pid}) => pid);
      const owner = findSocketOwner(connection, pids);
      return sources.find(({pid}) => pid === owner)?.name;
    },
  );
}

async function startStandIns(file: string, log: string): Promise<Child> {
  const child = Child.start(process.execPath, [standInProgram, file], log);
  if ((await child.firstLine) === '') {
    await child.stop();
    throw new Error(`the stand-in targets did not start, see ${log}`);
  }
  return child;
}

/** Counts the targets that an entry sees; -1 while it isn't ready. */
async function countTargets(url: string): Promise<number> {
  try {
    const ready = await request(`${url}/v1/health/ready`);
    await ready.body.dump();
    if (ready.statusCode !== 200) return -1;
    const status = await request(`${url}/v1/status`);
    const body = (await status.body.json()) as {readonly targets?: unknown};
    return typeof body.targets === 'number' ? body.targets : 0;
  } catch {
    return -1;
  }
}
