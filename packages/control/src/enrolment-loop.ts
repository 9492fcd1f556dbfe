import {setTimeout as sleep} from 'node:timers/promises';
import type {Address, Clock, Instant} from '#model';
import type {ReplicaStatus} from '#consensus';
import {ControlClient} from '#membership';
import type {Logger} from '#telemetry';

export interface EnrolmentLoopOptions {
  /** Addresses of control replicas that are known from the settings; at least one. */
  readonly controls: readonly Address[];
  /** The address of this replica, which it announces. */
  readonly address: Address;
  readonly describeStatus: () => ReplicaStatus;
  readonly clock: Clock;
  readonly log: Logger;
}

const intervalMs = 100;
const requestTimeoutMs = 2000;
/** A member that knows no leader for this long may have been removed while it was silent. */
const leaderlessMs = 1500;

/**
 * Asks to be a learner of the group while this replica is none of its members: it is new, or it was
 * removed while it was frozen, cut off or stopped, and comes back with its log.
 */
export class EnrolmentLoop implements AsyncDisposable {
  private readonly stop = new AbortController();
  private readonly client: ControlClient;
  private readonly loop: Promise<void>;
  private leaderSeenAt: Instant;

  constructor(private readonly options: EnrolmentLoopOptions) {
    const {controls, address, clock} = options;
    this.client = new ControlClient({
      controls,
      first: Math.max(0, controls.indexOf(address)),
    });
    this.leaderSeenAt = clock.now();
    this.loop = this.run();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.client[Symbol.asyncDispose]();
    await this.loop;
  }

  private async run(): Promise<void> {
    const {signal} = this.stop;
    while (!signal.aborted) {
      if (this.isOutsider()) await this.ask();
      await sleep(intervalMs, undefined, {signal}).catch(() => undefined);
    }
  }

  private isOutsider(): boolean {
    const {describeStatus, clock} = this.options;
    const {id, leader, members} = describeStatus();
    const now = clock.now();
    if (leader !== undefined) this.leaderSeenAt = now;
    if (!members.some(member => member.id === id)) return true;
    return now - this.leaderSeenAt > leaderlessMs;
  }

  private async ask(): Promise<void> {
    const {describeStatus, address, clock, log} = this.options;
    const {id: member, members} = describeStatus();
    this.client.updateControls(
      members.filter(({id}) => id !== member).map(each => each.address),
    );
    const reply = await this.client.request(
      'control.enrol',
      {member, address},
      clock.now() + requestTimeoutMs,
    );
    reply.ifLeft(({detail}) =>
      log.debug(
        {event: 'enrolment-failed', detail},
        'no leader took the request to be a member',
      ),
    );
  }
}
