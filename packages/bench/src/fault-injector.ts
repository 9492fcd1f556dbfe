import {failUnreachable} from '#model';
import {askPeer} from './ask.js';
import type {Disruption, DisruptionStep} from './chaos-plan.js';
import type {Child} from './child.js';
import {dropTraffic, restoreTraffic} from './isolation.js';
import type {Member} from './member.js';
import {raceChanges, type RaceResult} from './operator.js';
import {noFault} from './proxy.js';
import type {Site} from './site.js';
import {sleepFor, waitUntil} from './wait.js';

const exitLimitMs = 20_000;

/** Carries out planned disruptions at a site. */
export class FaultInjector {
  readonly races: RaceResult[] = [];
  /** Processes that exited unexpectedly, or with a code other than 0 after SIGTERM. */
  readonly badExits: string[] = [];
  /** Processes that were killed or sent SIGTERM here, whose exit is expected. */
  private readonly expectedExits = new Set<Child>();

  constructor(
    private readonly site: Site,
    private readonly label: string,
  ) {}

  /** Carries out every step at its time and waits until all are over. */
  async execute(steps: readonly DisruptionStep[]): Promise<void> {
    const startedAt = performance.now();
    await Promise.all(
      steps.map(async ({atMs, disruption}, i) => {
        await sleepFor(startedAt + atMs - performance.now());
        await this.apply(disruption, i);
      }),
    );
  }

  /** Ends every fault and restarts the processes that aren't running. */
  async repair(): Promise<void> {
    for (const member of this.site.members) {
      member.proxy?.restore();
      member.child.kill('SIGCONT');
    }
    await this.recordUnexpectedExits();
    await Promise.all(
      this.site.members
        .filter(({child}) => !child.isRunning)
        .map(member => member.restart()),
    );
    for (const {name} of this.site.list('agent')) {
      await this.site.changeBehaviour(name, {failsAll: false});
    }
  }

  private async recordUnexpectedExits(): Promise<void> {
    for (const {name, child, plan} of this.site.members) {
      if (child.isRunning || this.expectedExits.has(child)) continue;
      const exit = JSON.stringify(await child.exited);
      this.badExits.push(
        `${name} exited unexpectedly (${exit}), see ${plan.log}`,
      );
    }
  }

  private async apply(disruption: Disruption, step: number): Promise<void> {
    switch (disruption.kind) {
      case 'kill':
        return this.killFor(disruption.name, disruption.forMs);
      case 'kill-leader': {
        const leader = await this.findLeader();
        return leader && this.killFor(leader.name, disruption.forMs);
      }
      case 'pause':
        await this.site.kill(disruption.name, 'SIGSTOP');
        await sleepFor(disruption.forMs);
        await this.site.kill(disruption.name, 'SIGCONT');
        return;
      case 'drain':
        return this.drainFor(disruption.name, disruption.forMs);
      case 'link': {
        const {proxy} = this.site.find(disruption.to);
        proxy?.inject(disruption.fault, disruption.from);
        await sleepFor(disruption.forMs);
        proxy?.inject(noFault, disruption.from);
        return;
      }
      case 'isolate':
        return this.dropTrafficFor(disruption.name, disruption.forMs);
      case 'lose-track':
        this.site.find(disruption.to).proxy?.swallowOpen();
        return;
      case 'fail-all':
        await this.site.changeBehaviour(disruption.target, {failsAll: true});
        await sleepFor(disruption.forMs);
        await this.site.changeBehaviour(disruption.target, {failsAll: false});
        return;
      case 'race-config':
        return this.raceConfig(disruption.operators, step);
      default:
        return failUnreachable(disruption);
    }
  }

  private async killFor(name: string, forMs: number): Promise<void> {
    const member = this.site.find(name);
    if (!member.child.isRunning) return;
    this.expectedExits.add(member.child);
    await this.site.kill(name, 'SIGKILL');
    await sleepFor(forMs);
    await this.restartStopped(member);
  }

  private async drainFor(name: string, forMs: number): Promise<void> {
    const member = this.site.find(name);
    const {child} = member;
    if (!child.isRunning) return;
    this.expectedExits.add(child);
    child.kill('SIGTERM');
    await waitUntil(
      `${name} exits after SIGTERM`,
      exitLimitMs,
      () => !child.isRunning,
    );
    const exit = await child.exited;
    // Another disruption may have killed it while it drained.
    if (exit.kind === 'code' && exit.code !== 0) {
      this.badExits.push(`${name} drained and exited with code ${exit.code}`);
    }
    await sleepFor(forMs);
    await this.restartStopped(member);
  }

  private async restartStopped(member: Member): Promise<void> {
    if (!member.child.isRunning) await member.restart();
  }

  private async dropTrafficFor(name: string, forMs: number): Promise<void> {
    dropTraffic(this.site, name);
    await sleepFor(forMs);
    restoreTraffic(this.site, name);
  }

  private async raceConfig(operators: number, step: number): Promise<void> {
    const race = await raceChanges(
      this.site,
      operators,
      `${this.label}-${step}`,
    );
    if (race !== undefined) this.races.push(race);
  }

  private async findLeader(): Promise<Member | undefined> {
    for (const member of this.site.list('control')) {
      const status = await askPeer(member.plan.listen, 'control.status', {});
      if (status?.role === 'leader') return member;
    }
    return undefined;
  }
}
