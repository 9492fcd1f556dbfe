import type {Address} from '#model';
import {Child} from './child.js';
import type {FaultProxy} from './proxy.js';

export type MemberRole = 'control' | 'entry' | 'agent';

/** Where a process of a site is met and what it is started with. */
export interface MemberPlan {
  readonly name: string;
  readonly role: MemberRole;
  /** Where it listens for other processes. */
  readonly listen: Address;
  /** Where others are told to dial it: the address of its proxy, if it has one. */
  readonly advertise: Address;
  readonly settings: string;
  /** A control replica that starts as a learner of a running group. */
  readonly joins: boolean;
  readonly log: string;
}

/** A process of a site, which may be killed and started again. */
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

  /** Starts the process again with the same settings once the last one has ended. */
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
