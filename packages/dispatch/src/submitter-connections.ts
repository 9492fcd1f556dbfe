import type {JobId} from '#model';
import type {Liveness, Peer} from '#protocol';

/**
 * While jobs are pending: a dispatcher that is cut off must cancel its jobs before their submitters
 * have them run elsewhere. Its silence limit is therefore below theirs, `busyLiveness` of peer-dispatchers.ts.
 */
const busyLiveness: Liveness = {probeAfterMs: 400, silenceLimitMs: 1100};
/** Without pending jobs: slow, as the peer that dialled sends probes as often as it needs. */
const idleLiveness: Liveness = {probeAfterMs: 12_000, silenceLimitMs: 30_000};

/**
 * The connections that pending jobs were received on. A job is cancelled when all its connections are
 * closed: nobody would get the answer, and the caller may submit the job elsewhere.
 */
export class SubmitterConnections {
  private readonly peers = new Map<JobId, Set<Peer>>();
  private readonly jobs = new Map<Peer, Set<JobId>>();

  constructor(private readonly cancel: (job: JobId) => void) {}

  /** Associates a job with a connection until the outcome is known. */
  async track<Outcome>(
    job: JobId,
    peer: Peer,
    outcome: Promise<Outcome>,
  ): Promise<Outcome> {
    this.add(job, peer);
    const result = await outcome;
    this.remove(job, peer);
    return result;
  }

  private add(job: JobId, peer: Peer): void {
    const peers = this.peers.get(job) ?? new Set();
    this.peers.set(job, peers.add(peer));
    const known = this.jobs.get(peer);
    if (known !== undefined) {
      known.add(job);
      return;
    }
    this.jobs.set(peer, new Set([job]));
    peer.setLiveness(busyLiveness);
    void peer.closed.then(() => this.drop(peer));
  }

  private remove(job: JobId, peer: Peer): void {
    const peers = this.peers.get(job);
    peers?.delete(peer);
    if (peers?.size === 0) this.peers.delete(job);
    const jobs = this.jobs.get(peer);
    jobs?.delete(job);
    if (jobs?.size !== 0) return;
    this.jobs.delete(peer);
    peer.setLiveness(idleLiveness);
  }

  private drop(peer: Peer): void {
    for (const job of this.jobs.get(peer) ?? []) {
      const peers = this.peers.get(job);
      peers?.delete(peer);
      if (peers?.size === 0) this.cancel(job);
    }
    this.jobs.delete(peer);
  }
}
