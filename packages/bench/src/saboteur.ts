import {failUnreachable} from '#model';
import {askPeer} from './ask.js';
import type {Trouble, TroubleStep} from './chaos-plan.js';
import type {Child} from './child.js';
import {cutOff, reconnect} from './isolation.js';
import type {Member} from './member.js';
import {raceChanges, type RaceResult} from './operator.js';
import {noFault} from './proxy.js';
import type {Site} from './site.js';
import {sleepFor, waitUntil} from './wait.js';

const restartLimitMs = 20_000;

/** Brings troubles about at a site. */
export class Saboteur {
  readonly races: RaceResult[] = [];
  /** Processes that ended of themselves, or not with code 0 when asked to stop. */
  readonly badEnds: string[] = [];
  private readonly asked = new Set<Child>();

  constructor(
    private readonly site: Site,
    private readonly label: string,
  ) {}

  /** Brings every step about at its time and waits until the last one is over. */
  async execute(steps: readonly TroubleStep[]): Promise<void> {
    const startedAt = performance.now();
    await Promise.all(
      steps.map(async ({atMs, trouble}, i) => {
        await sleepFor(startedAt + atMs - performance.now());
        await this.make(trouble, i);
      }),
    );
  }

  /** Ends every fault and starts again whatever does not run. */
  async repair(): Promise<void> {
    for (const member of this.site.members) {
      member.proxy?.restore();
      member.child.kill('SIGCONT');
    }
    await this.noteUnasked();
    await Promise.all(
      this.site.members
        .filter(({child}) => !child.isRunning)
        .map(member => member.restart()),
    );
    for (const {name} of this.site.list('agent')) {
      await this.site.changeTemper(name, {failsAll: false});
    }
  }

  private async noteUnasked(): Promise<void> {
    for (const {name, child, plan} of this.site.members) {
      if (child.isRunning || this.asked.has(child)) continue;
      const exit = JSON.stringify(await child.exited);
      this.badEnds.push(`${name} ended of itself (${exit}), see ${plan.log}`);
    }
  }

  private async make(trouble: Trouble, step: number): Promise<void> {
    switch (trouble.kind) {
      case 'kill':
        return this.killFor(trouble.name, trouble.forMs);
      case 'kill-leader': {
        const leader = await this.findLeader();
        return leader && this.killFor(leader.name, trouble.forMs);
      }
      case 'pause':
        await this.site.kill(trouble.name, 'SIGSTOP');
        await sleepFor(trouble.forMs);
        await this.site.kill(trouble.name, 'SIGCONT');
        return;
      case 'drain':
        return this.drainFor(trouble.name, trouble.forMs);
      case 'link': {
        const {proxy} = this.site.find(trouble.to);
        proxy?.inject(trouble.fault, trouble.from);
        await sleepFor(trouble.forMs);
        proxy?.inject(noFault, trouble.from);
        return;
      }
      case 'isolate':
        return this.cutOffFor(trouble.name, trouble.forMs);
      case 'lose-track':
        this.site.find(trouble.to).proxy?.swallowOpen();
        return;
      case 'fail-all':
        await this.site.changeTemper(trouble.target, {failsAll: true});
        await sleepFor(trouble.forMs);
        await this.site.changeTemper(trouble.target, {failsAll: false});
        return;
      case 'race-config':
        return this.raceConfig(trouble.operators, step);
      default:
        return failUnreachable(trouble);
    }
  }

  private async killFor(name: string, forMs: number): Promise<void> {
    const member = this.site.find(name);
    if (!member.child.isRunning) return;
    this.asked.add(member.child);
    await this.site.kill(name, 'SIGKILL');
    await sleepFor(forMs);
    await this.startAgain(member);
  }

  private async drainFor(name: string, forMs: number): Promise<void> {
    const member = this.site.find(name);
    const {child} = member;
    if (!child.isRunning) return;
    this.asked.add(child);
    child.kill('SIGTERM');
    await waitUntil(
      `${name} ends after SIGTERM`,
      restartLimitMs,
      () => !child.isRunning,
    );
    const exit = await child.exited;
    // Another trouble may have killed it while it drained.
    if (exit.kind === 'code' && exit.code !== 0) {
      this.badEnds.push(`${name} drained and ended with code ${exit.code}`);
    }
    await sleepFor(forMs);
    await this.startAgain(member);
  }

  private async startAgain(member: Member): Promise<void> {
    if (!member.child.isRunning) await member.restart();
  }

  private async cutOffFor(name: string, forMs: number): Promise<void> {
    cutOff(this.site, name);
    await sleepFor(forMs);
    reconnect(this.site, name);
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
