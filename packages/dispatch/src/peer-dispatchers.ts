import {
  type Address,
  computeRemainingMs,
  type Instant,
  monotonicClock,
} from '#model';
import {
  type CancelJobParams,
  type CancelJobResult,
  dialPeer,
  dialTimeoutMs,
  type FollowJobResult,
  type Liveness,
  type ParamsOf,
  type Peer,
  type RelayJobParams,
  type RelayJobResult,
  type RequestName,
  type ResultOf,
} from '#protocol';
import type {DispatcherLoad} from '#policy';
import {
  type Claim,
  type ClaimAnswer,
  decodeClaimAnswer,
  encodeClaim,
} from './claim-messages.js';

/** While a request is pending: silence of a second is a fault. */
const busyLiveness: Liveness = {probeAfterMs: 500, silenceLimitMs: 1200};
/** Without pending requests, between dispatchers: slow, as each may be connected to all others of its service. */
const defaultIdleLiveness: Liveness = {
  probeAfterMs: 10_000,
  silenceLimitMs: 25_000,
};
/** A dispatcher that could not be reached is not tried again for this long. */
const backoffMs = 700;
/** Older load reports are ignored: loads change within seconds. */
const maxLoadAgeMs = 1500;

interface ReportedLoad {
  readonly load: DispatcherLoad;
  readonly reportedAt: Instant;
}

interface Connection {
  readonly opening: Promise<Peer | undefined>;
  /** Set once dialling has succeeded. */
  peer?: Peer;
  pendingRequests: number;
}

/** The result of relaying a job to another dispatcher. */
export type RelayOutcome =
  | {readonly kind: 'answered'; readonly result: RelayJobResult}
  /** Nothing was sent for want of a connection. */
  | {readonly kind: 'unsent'}
  /** The job was sent and its outcome is unknown. */
  | {readonly kind: 'lost'};

/** Connections to other dispatchers, opened when first needed. */
export class PeerDispatchers implements AsyncDisposable {
  private readonly connections = new Map<Address, Connection>();
  private readonly backoffUntil = new Map<Address, Instant>();
  private readonly loads = new Map<Address, ReportedLoad>();

  constructor(
    private readonly idleLiveness: Liveness = defaultIdleLiveness,
    /** Called when a connection was closed: the dispatcher's process may have ended. */
    private readonly onLost: (address: Address) => void = () => {},
  ) {}

  /** Claims a job at a registrar; undefined when the registrar does not respond in time. */
  async sendClaim(
    address: Address,
    claim: Claim,
    deadline: Instant,
  ): Promise<ClaimAnswer | undefined> {
    const reply = await this.request(
      address,
      'dispatcher.claim',
      encodeClaim(claim),
      deadline,
    );
    // A claim that was not sent says nothing new: it must not delay the next attempt to connect.
    if (reply === 'lost') this.startBackoff(address);
    if (typeof reply === 'string' || reply.lagMs === undefined) {
      this.loads.delete(address);
    } else {
      const {lagMs, waitingCoreMs = 0} = reply;
      const reportedAt = monotonicClock.now();
      this.loads.set(address, {
        load: {address, lagMs, waitingCoreMs},
        reportedAt,
      });
    }
    return typeof reply === 'string'
      ? undefined
      : decodeClaimAnswer(reply, claim);
  }

  /** Lists the recently reported loads of other dispatchers. */
  listLoads(): readonly DispatcherLoad[] {
    const since = monotonicClock.now() - maxLoadAgeMs;
    return [...this.loads.values()]
      .filter(({reportedAt}) => reportedAt >= since)
      .map(({load}) => load);
  }

  /** Relays a job to another dispatcher and waits for its end. */
  async relay(
    address: Address,
    params: RelayJobParams,
    deadline: Instant,
  ): Promise<RelayOutcome> {
    const reply = await this.request(
      address,
      'dispatcher.relay',
      params,
      deadline,
    );
    if (reply === 'unsent') return {kind: 'unsent'};
    if (reply === 'lost') return {kind: 'lost'};
    return {kind: 'answered', result: reply};
  }

  /** Tells a dispatcher that the caller of a job relayed to it has disconnected. */
  async cancel(address: Address, job: string): Promise<void> {
    const peer = await this.connections.get(address)?.opening;
    peer?.notify('dispatcher.abandon', {job});
  }

  /** Has a dispatcher cancel a job for its caller; undefined when it is unreachable or stops responding. */
  async cancelForCaller(
    address: Address,
    {job, service}: Pick<CancelJobParams, 'job' | 'service'>,
    deadline: Instant,
  ): Promise<CancelJobResult | undefined> {
    const remainingMs = computeRemainingMs(monotonicClock.now(), deadline);
    const params = {job, service, remainingMs};
    const reply = await this.request(
      address,
      'dispatcher.cancel',
      params,
      deadline,
    );
    return typeof reply === 'string' ? undefined : reply;
  }

  /** Waits for a job to end at its owner; undefined when the owner is unreachable or stops responding. */
  async awaitOutcome(
    address: Address,
    job: string,
    deadline: Instant,
  ): Promise<FollowJobResult | undefined> {
    const remainingMs = computeRemainingMs(monotonicClock.now(), deadline);
    const params = {job, remainingMs};
    const reply = await this.request(
      address,
      'dispatcher.follow',
      params,
      deadline,
    );
    return typeof reply === 'string' ? undefined : reply;
  }

  /** Opens a connection ahead of its first use. */
  async connect(address: Address): Promise<void> {
    if (this.isReachable(address)) await this.open(address).opening;
  }

  /** True while a connection is open. */
  isConnected(address: Address): boolean {
    return this.connections.get(address)?.peer?.isOpen === true;
  }

  private isReachable(address: Address): boolean {
    return monotonicClock.now() >= (this.backoffUntil.get(address) ?? 0);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const {opening} of this.connections.values()) {
      await (await opening)?.[Symbol.asyncDispose]();
    }
  }

  private async request<Name extends RequestName>(
    address: Address,
    method: Name,
    params: ParamsOf<Name>,
    deadline: Instant,
  ): Promise<ResultOf<Name> | 'unsent' | 'lost'> {
    if (!this.isReachable(address)) return 'unsent';
    const connection = this.open(address);
    const peer = await connection.opening;
    if (peer?.isOpen !== true) return 'unsent';
    connection.pendingRequests++;
    peer.setLiveness(busyLiveness);
    const reply = await peer.request(method, params, deadline);
    connection.pendingRequests--;
    if (connection.pendingRequests === 0) peer.setLiveness(this.idleLiveness);
    return reply.caseOf<ResultOf<Name> | 'lost'>({
      Left: () => 'lost',
      Right: result => result,
    });
  }

  private startBackoff(address: Address): void {
    this.backoffUntil.set(address, monotonicClock.now() + backoffMs);
  }

  private open(address: Address): Connection {
    const known = this.connections.get(address);
    if (known !== undefined) return known;
    const deadline = monotonicClock.now() + dialTimeoutMs;
    const connection: Connection = {
      opening: this.dial(address, deadline),
      pendingRequests: 0,
    };
    this.connections.set(address, connection);
    void connection.opening.then(peer => (connection.peer = peer));
    return connection;
  }

  private async dial(
    address: Address,
    deadline: Instant,
  ): Promise<Peer | undefined> {
    const dialled = await dialPeer(address, {}, deadline, this.idleLiveness);
    const peer = dialled.toMaybe().extract();
    if (peer === undefined) {
      this.connections.delete(address);
      this.startBackoff(address);
    } else {
      void peer.closed.then(() => {
        this.connections.delete(address);
        this.onLost(address);
      });
    }
    return peer;
  }
}
