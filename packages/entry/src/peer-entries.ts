import type {Address, Instant, JobAnswer, JobId, Submission} from '#model';
import {computeRemainingMs, monotonicClock} from '#model';
import {
  dialPeer,
  type JobParams,
  type JobState,
  type Liveness,
  type Peer,
} from '#protocol';

/** Bounds the delay that an unreachable host causes. */
const dialTimeoutMs = 1000;

/** Connections to other entries, opened on first use. */
export class PeerEntries implements AsyncDisposable {
  private readonly peers = new Map<Address, Promise<Peer | undefined>>();

  constructor(private readonly liveness?: Liveness) {}

  /**
   * Waits for a job's answer from its owner; undefined when the owner is unreachable or the
   * connection is lost.
   */
  async attach(
    address: Address,
    submission: Submission,
    deadline: Instant,
    forwarded = false,
  ): Promise<JobAnswer | undefined> {
    const peer = await this.open(address, deadline);
    if (peer === undefined) return undefined;
    const remainingMs = computeRemainingMs(monotonicClock.now(), deadline);
    const reply = await peer.request(
      'entry.attach',
      {submission, remainingMs, ...(forwarded && {forwarded})},
      deadline,
    );
    return reply.toMaybe().extract()?.answer;
  }

  /** Queries the progress of a job at its owner. */
  peek(
    address: Address,
    job: JobId,
    deadline: Instant,
    forwarded = false,
  ): Promise<JobState | undefined> {
    return this.queryJob('entry.peek', address, {job, forwarded}, deadline);
  }

  /** Cancels a job at its owner. */
  cancel(
    address: Address,
    job: JobId,
    deadline: Instant,
    forwarded = false,
  ): Promise<JobState | undefined> {
    return this.queryJob('entry.cancel', address, {job, forwarded}, deadline);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const opening of this.peers.values()) {
      await (await opening)?.[Symbol.asyncDispose]();
    }
  }

  private async queryJob(
    method: 'entry.peek' | 'entry.cancel',
    address: Address,
    params: JobParams,
    deadline: Instant,
  ): Promise<JobState | undefined> {
    const peer = await this.open(address, deadline);
    const reply = await peer?.request(method, params, deadline);
    return reply?.toMaybe().extract();
  }

  private open(address: Address, deadline: Instant): Promise<Peer | undefined> {
    const known = this.peers.get(address);
    if (known !== undefined) return known;
    const dialDeadline = Math.min(
      deadline,
      monotonicClock.now() + dialTimeoutMs,
    );
    const opening = dialPeer(address, {}, dialDeadline, this.liveness).then(
      dialled => {
        const peer = dialled.toMaybe().extract();
        if (peer === undefined) this.peers.delete(address);
        else void peer.closed.then(() => this.peers.delete(address));
        return peer;
      },
    );
    this.peers.set(address, opening);
    return opening;
  }
}
