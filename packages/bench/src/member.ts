import type {Address} from '#model';
import {Child} from './child.js';
import type {FaultProxy} from './proxy.js';

export type MemberRole = 'control' | 'entry' | 'agent';

/** The addresses, settings and log of a process of a site. */
export interface MemberPlan {
  readonly name: string;
  readonly role: MemberRole;
  /** The address on which it listens for other processes. */
  readonly listen: Address;
  /** The address that other processes dial: its proxy's, if it has one. */
  readonly advertise: Address;
  readonly settings: string;
  /** Whether a control replica starts as a learner of a running group. */
  readonly joins: boolean;
  readonly log: string;
}

/** A process of a site, which can be killed and restarted. */
export class Member implements AsyncDisposable {
  private current: Child;

  constructor(
    readonly plan: MemberPlan,
    private readonly binary: string,
    readonly proxy: FaultProxy | undefined,
  ) {
    this.current = this.start();
  }

  get name(): string {
    return this.plan.name;
  }

  get role(): MemberRole {
    return this.plan.role;
  }

  get child(): Child {
    return this.current;
  }

  get pid(): number {
    return this.current.pid;
  }

  /** Waits for the process to exit, then starts it again with the same settings. */
  async restart(): Promise<void> {
    await this.current.exited;
    this.current = this.start();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.current.stop();
    await this.proxy?.[Symbol.asyncDispose]();
  }

  private start(): Child {
    const {role, settings, log} = this.plan;
    return Child.start(this.binary, [role, '--settings', settings], log);
  }
}
