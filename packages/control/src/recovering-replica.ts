import {setTimeout as sleep} from 'node:timers/promises';
import {type Either, Left, Right} from 'purify-ts';
import type {ControlId, Instant} from '#model';
import type {MemberChange, Message, ReplicaStatus} from '#consensus';
import type {Command, CommandResult} from '#membership';
import type {ChangeResult, ProposeResult, ReadResult} from '#storage';
import type {Logger, Metrics} from '#telemetry';
import type {
  Replica,
  ReplicaEnvironment,
  ReplicaFailure,
  StartReplica,
} from './replica.js';

export interface RecoveringReplicaOptions {
  readonly start: StartReplica;
  readonly environment: Omit<ReplicaEnvironment, 'fail'>;
  /** Called when the disk is full: what the state machine holds may be old from now on. */
  readonly onDiskFull: () => void;
  /** Called once, when the replica cannot go on for another reason. */
  readonly onFailed: (detail: string) => void;
  readonly log: Logger;
  readonly metrics: Metrics;
}

const initialRetryDelayMs = 250;
const maxRetryDelayMs = 2000;
const notLeader = {kind: 'not-leader'} as const;

/**
 * A replica that outlives a full disk. Once a write has found no room, the replica is dropped with
 * all that it had in memory, as after a crash, and started again from its folder until there is room.
 * Meanwhile it answers no other replica, acknowledges nothing and leads nothing.
 */
export class RecoveringReplica implements Replica {
  /** What found no room on the disk; undefined while there is room. */
  diskFailure: string | undefined;

  private readonly stop = new AbortController();
  private running: Replica | undefined;
  private lastStatus: ReplicaStatus;
  private recovery: Promise<void> = Promise.resolve();

  private constructor(private readonly options: RecoveringReplicaOptions) {
    const {id} = options.environment;
    this.lastStatus = {
      id,
      role: 'learner',
      term: 0,
      lastIndex: 0,
      commitIndex: 0,
      isCurrent: false,
      currentUntil: -Infinity,
      members: [],
      progress: [],
    };
  }

  /** Starts the replica; fails when something else than a full disk keeps it from starting. */
  static async start(
    options: RecoveringReplicaOptions,
  ): Promise<Either<string, RecoveringReplica>> {
    const replica = new RecoveringReplica(options);
    const failure = await replica.tryStart();
    if (failure === undefined) return Right(replica);
    if (failure.kind === 'final') return Left(failure.detail);
    replica.recover(failure.detail);
    return Right(replica);
  }

  async propose(command: Command): Promise<ProposeResult<CommandResult>> {
    return this.running?.propose(command) ?? notLeader;
  }

  async confirmRead(): Promise<ReadResult> {
    return this.running?.confirmRead() ?? notLeader;
  }

  receive(from: ControlId, message: Message): void {
    this.running?.receive(from, message);
  }

  async changeMembers(change: MemberChange): Promise<ChangeResult> {
    return this.running?.changeMembers(change) ?? notLeader;
  }

  async transferLeadership(deadline: Instant): Promise<boolean> {
    return this.running?.transferLeadership(deadline) ?? true;
  }

  describeStatus(): ReplicaStatus {
    return this.running?.describeStatus() ?? this.lastStatus;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.recovery;
    await this.running?.[Symbol.asyncDispose]();
  }

  private async tryStart() {
    const {start, environment} = this.options;
    const started = await start({
      ...environment,
      fail: failure => this.handleFailure(failure),
    });
    return started
      .ifRight(replica => (this.running = replica))
      .swap()
      .toMaybe()
      .extract();
  }

  private handleFailure({kind, detail}: ReplicaFailure): void {
    if (kind === 'disk-full') this.recover(detail);
    else this.options.onFailed(detail);
  }

  private recover(detail: string): void {
    const failed = this.running;
    if (failed !== undefined) {
      const {id, term, members, commitIndex} = failed.describeStatus();
      this.lastStatus = {...this.lastStatus, id, term, members, commitIndex};
    }
    this.running = undefined;
    this.options.onDiskFull();
    this.reportFailure(detail);
    this.recovery = this.restart(failed);
  }

  private async restart(failed: Replica | undefined): Promise<void> {
    await failed?.[Symbol.asyncDispose]();
    const {environment, log, metrics, onFailed} = this.options;
    let retryDelayMs = initialRetryDelayMs;
    const {signal} = this.stop;
    for (;;) {
      await sleep(retryDelayMs, undefined, {signal}).catch(() => undefined);
      if (signal.aborted) return;
      retryDelayMs = Math.min(maxRetryDelayMs, 2 * retryDelayMs);
      environment.machine.reset();
      const failure = await this.tryStart();
      switch (failure?.kind) {
        case 'disk-full':
          this.reportFailure(failure.detail);
          continue;
        case 'final':
          onFailed(failure.detail);
          return;
        case undefined:
          this.diskFailure = undefined;
          metrics.gauge('control.disk.full', 0);
          log.info({event: 'disk-usable'}, 'the disk has room again');
          return;
      }
    }
  }

  private reportFailure(detail: string): void {
    const {log, metrics} = this.options;
    metrics.gauge('control.disk.full', 1);
    if (detail !== this.diskFailure) {
      log.error({event: 'disk-full', detail}, 'the disk has no room');
    }
    this.diskFailure = detail;
  }
}
