import {randomUUID} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts';
import {
  type Address,
  assertInvariant,
  type Clock,
  type Instant,
  monotonicClock,
} from '#model';
import {
  dialPeer,
  dialTimeoutMs,
  type Liveness,
  type NotLeader,
  type ParamsOf,
  type Peer,
  type RequestName,
  type ResultOf,
  type RpcFailure,
  type ViewChange,
  type ViewUpdate,
  type WatchParams,
} from '#protocol';
import {CancellableWaits} from './cancellable-waits.js';
import {applyUpdate, emptyView, type View} from './view.js';

/** The requests that control answers. Every one is idempotent. */
export type ControlRequest = Extract<RequestName, `control.${string}`>;

/** A request's result without the redirect to the leader. */
export type ControlValue<Name extends ControlRequest> =
  ResultOf<Name> extends
    {readonly kind: 'done'; readonly value: infer Value} | NotLeader
    ? Value
    : ResultOf<Name>;

/** Why a request failed. */
export interface ControlFailure {
  /** `rejected`: control refused the request as invalid. `unavailable`: no leader answered by the deadline. */
  readonly kind: 'unavailable' | 'rejected';
  readonly detail: string;
  /** False only when the request has certainly not been applied and never will be. */
  readonly maybeApplied: boolean;
}

export interface ControlClientOptions {
  /** Addresses of the control replicas; at least one. */
  readonly controls: readonly Address[];
  readonly liveness?: Liveness;
  readonly clock?: Clock;
  /** Index of the replica that is tried first; different values spread clients over the replicas. */
  readonly first?: number;
  /** Called on each change of the connection, for logging. */
  readonly onEvent?: (event: ControlEvent) => void;
}

/** A change of the client's connection to control. */
export type ControlEvent =
  | {readonly kind: 'connected'; readonly control: Address}
  | {
      readonly kind: 'unreachable';
      readonly control: Address;
      readonly detail: string;
    }
  /** The client closed the connection, or found it closed. */
  | {
      readonly kind: 'left';
      readonly control: Address;
      readonly detail: string;
    }
  /** The replica streams view updates, starting at this revision. */
  | {
      readonly kind: 'watching';
      readonly control: Address;
      readonly revision: number;
    };

/** Receives each new view and the changes that led to it; `changes` is undefined after a full view. */
export type ViewListener = (
  view: View,
  changes: readonly ViewChange[] | undefined,
) => void;

const attemptTimeoutMs = 2000;
/** Limit for the first update of a watch while bytes of it keep arriving: enough for several MB at the lowest rate that counts as progress. */
const firstUpdateTimeoutMs = 600_000;
/** Bytes within the time of an attempt that show that a message is arriving; answers to probes are fewer. */
const minProgressBytes = 16 * 1024;
/** A request with less time left is not sent: it would time out with an unknown outcome. */
const minAttemptMs = 5;
const initialBackoffMs = 20;
const maxBackoffMs = 100;
/** Redirects that a request follows without a delay. */
const maxRedirects = 2;

interface Watch {
  readonly topics: WatchParams['topics'];
  readonly listener: ViewListener;
  /** Updates that arrived before the reply to the watch request. */
  buffered: ViewUpdate[] | undefined;
  /** Updates are missing, so the watch must be renewed. */
  hasGap: boolean;
  /** Resolves `waitForDisconnect`, after which the watch is renewed unless the client is disposed of. */
  resume: () => void;
}

/**
 * A process's single connection to control. Follows redirects to the leader, switches to another
 * replica when one fails, times out or lags behind, and resumes the watch on each new connection.
 */
export class ControlClient implements AsyncDisposable {
  private readonly clock: Clock;
  private readonly nonce = randomUUID();
  private readonly waits = new CancellableWaits();
  /** Those that control told of go first. */
  private addresses: readonly Address[];
  private next: Address;
  private dialling: Promise<Either<string, Peer>> | undefined;
  private peer: Peer | undefined;
  private watching: Watch | undefined;
  private watchLoop: Promise<void> = Promise.resolve();
  private latest: View = emptyView;

  constructor(private readonly options: ControlClientOptions) {
    const {controls, first = 0} = options;
    assertInvariant(controls.length > 0, 'no control addresses are given');
    this.clock = options.clock ?? monotonicClock;
    this.addresses = [...controls];
    this.next = controls[first % controls.length];
  }

  /** The latest view received by the watch; empty before the first. */
  get view(): View {
    return this.latest;
  }

  /** Where the control replicas listen, those that control told of first. */
  get controls(): readonly Address[] {
    return this.addresses;
  }

  /**
   * Sends a request, retrying at other replicas until the deadline. A lease in the reply counts
   * from this call, which is no later than the time of sending.
   */
  async request<Name extends ControlRequest>(
    method: Name,
    params: ParamsOf<Name>,
    deadline: Instant,
  ): Promise<Either<ControlFailure, ControlValue<Name>>> {
    const sentParams =
      method === 'control.openEntry' ? {nonce: this.nonce, ...params} : params;
    let maybeApplied = false;
    let detail = 'the deadline has passed';
    let backoffMs = initialBackoffMs;
    let redirects = 0;
    while (
      !this.waits.isCancelled &&
      this.clock.now() + minAttemptMs < deadline
    ) {
      const connected = await this.connect(deadline);
      const peer = connected.extract();
      if (typeof peer === 'string') {
        detail = peer;
      } else {
        const outcome = await this.tryRequest(
          peer,
          method,
          sentParams,
          deadline,
        );
        if (outcome.kind === 'answered') return Right(outcome.value);
        detail = outcome.detail;
        maybeApplied ||= outcome.maybeApplied;
        if (outcome.kind === 'rejected') {
          return Left({kind: 'rejected', detail, maybeApplied});
        }
        if (outcome.redirected && redirects++ < maxRedirects) continue;
      }
      await this.waits.wait(Math.min(backoffMs, deadline - this.clock.now()));
      backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
    }
    return Left({kind: 'unavailable', detail, maybeApplied});
  }

  /**
   * Subscribes to the view. The listener first gets a full view, and revisions never decrease.
   * A client has at most one watch.
   */
  watch(topics: WatchParams['topics'], listener: ViewListener): void {
    assertInvariant(
      this.watching === undefined,
      'the client already has a watch',
    );
    this.watching = {
      topics,
      listener,
      buffered: undefined,
      hasGap: false,
      resume: () => {},
    };
    this.watchLoop = this.followView(this.watching);
  }

  /** Prefers these replicas from now on; those of the settings are tried after them. */
  updateControls(controls: readonly Address[]): void {
    const {controls: configured} = this.options;
    this.addresses = [...new Set([...controls, ...configured])];
  }

  /** Ends the watch and closes the connection; pending requests fail as unavailable. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.waits.cancel();
    this.watching?.resume();
    this.peer?.close('closed by this end');
    const dialled = await this.dialling;
    dialled?.ifRight(peer => peer.close('closed by this end'));
    await this.watchLoop;
  }

  private async tryRequest<Name extends ControlRequest>(
    peer: Peer,
    method: Name,
    params: ParamsOf<Name>,
    deadline: Instant,
  ): Promise<Attempt<ControlValue<Name>>> {
    const attemptDeadline = Math.min(
      deadline,
      this.clock.now() + attemptTimeoutMs,
    );
    const receivedBytes = peer.receivedBytes;
    const reply = await peer.request(method, params, attemptDeadline);
    return reply.caseOf<Attempt<ControlValue<Name>>>({
      Left: failure => this.handleFailure(peer, failure, receivedBytes),
      Right: result => {
        const answer = result as {kind?: string; value?: unknown};
        if (answer.kind === 'not-leader') {
          return this.followRedirect(peer, result as NotLeader);
        }
        const value = answer.kind === 'done' ? answer.value : result;
        return {kind: 'answered', value: value as ControlValue<Name>};
      },
    });
  }

  /** `receivedBytes` had arrived when the request was sent. */
  private handleFailure(
    peer: Peer,
    failure: RpcFailure,
    receivedBytes: number,
  ): Attempt<never> {
    if (failure.kind === 'rejected') {
      return {
        kind: 'rejected',
        detail: failure.detail,
        maybeApplied: false,
      };
    }
    // An answer may wait behind an update that is still arriving, which a new connection would begin anew.
    const isArriving = peer.receivedBytes - receivedBytes >= minProgressBytes;
    if (failure.kind !== 'timeout' || !isArriving) {
      this.dropPeer(peer, failure.kind);
    }
    const detail =
      failure.kind === 'timeout' ? 'no answer in time' : failure.detail;
    return {kind: 'failed', detail, maybeApplied: true, redirected: false};
  }

  private followRedirect(peer: Peer, reply: NotLeader): Attempt<never> {
    const {leader, maybeApplied = false} = reply;
    const hasNewLeader =
      leader !== undefined && this.peer === peer && leader !== this.next;
    if (this.peer === peer) this.dropPeer(peer, 'not the leader', leader);
    return {
      kind: 'failed',
      detail: 'no control replica leads',
      maybeApplied,
      redirected: hasNewLeader,
    };
  }

  private async connect(deadline: Instant): Promise<Either<string, Peer>> {
    if (this.peer?.isOpen) return Right(this.peer);
    if (this.peer !== undefined) this.dropPeer(this.peer, 'closed');
    this.dialling ??= this.dial();
    const remainingMs = deadline - this.clock.now();
    const dialled = await this.waits.race(this.dialling, remainingMs);
    return dialled ?? Left('no connection by the deadline');
  }

  private async dial(): Promise<Either<string, Peer>> {
    const address = this.next;
    const dialled = await dialPeer(
      address,
      {
        'watcher.update': (update, peer) => this.receive(peer, update),
        'watcher.controls': ({controls}) => this.updateControls(controls),
      },
      monotonicClock.now() + dialTimeoutMs,
      this.options.liveness,
    );
    this.dialling = undefined;
    dialled
      .ifRight(peer => {
        if (this.waits.isCancelled) peer.close('closed by this end');
        this.peer = peer;
        this.emit({kind: 'connected', control: address});
      })
      .ifLeft(detail => {
        this.rotate(address);
        this.emit({kind: 'unreachable', control: address, detail});
      });
    return dialled;
  }

  private dropPeer(peer: Peer, cause: string, leader?: Address): void {
    if (this.peer !== peer) return;
    this.peer = undefined;
    const address = this.next;
    if (leader === undefined || leader === address) this.rotate(address);
    else this.next = leader;
    peer.close(cause);
    this.emit({kind: 'left', control: address, detail: cause});
  }

  private emit(event: ControlEvent): void {
    this.options.onEvent?.(event);
  }

  private rotate(from: Address): void {
    const at = this.addresses.indexOf(from);
    this.next = this.addresses[(at + 1) % this.addresses.length]!;
  }

  private async followView(watching: Watch): Promise<void> {
    let backoffMs = initialBackoffMs;
    while (!this.waits.isCancelled) {
      const connected = await this.connect(this.clock.now() + dialTimeoutMs);
      const peer = connected.extract();
      if (typeof peer !== 'string' && (await this.subscribe(peer, watching))) {
        backoffMs = initialBackoffMs;
        await this.waitForDisconnect(peer, watching);
      }
      await this.waits.wait(backoffMs);
      backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
    }
  }

  private async subscribe(peer: Peer, watching: Watch): Promise<boolean> {
    watching.buffered = [];
    watching.hasGap = false;
    const first = await this.requestFirstUpdate(peer, watching);
    const buffered = watching.buffered;
    watching.buffered = undefined;
    const isApplied =
      first !== undefined &&
      [first, ...buffered].every(update => this.applyToView(update));
    if (isApplied) {
      const {revision} = this.latest;
      this.emit({kind: 'watching', control: this.next, revision});
    } else {
      this.dropPeer(peer, 'its view cannot be followed');
    }
    return isApplied;
  }

  /**
   * Requests the update that a watch begins with; undefined when it does not arrive. Over a slow link a
   * large configuration takes longer than an attempt: it is waited for while it arrives.
   */
  private async requestFirstUpdate(
    peer: Peer,
    {topics}: Watch,
  ): Promise<ViewUpdate | undefined> {
    const request = peer.request(
      'control.watch',
      {since: this.latest.revision, topics},
      monotonicClock.now() + firstUpdateTimeoutMs,
    );
    for (;;) {
      const receivedBytes = peer.receivedBytes;
      const reply = await this.waits.race(request, attemptTimeoutMs);
      if (reply !== undefined) return reply.toMaybe().extract();
      const arrived = peer.receivedBytes - receivedBytes;
      if (this.waits.isCancelled || arrived < minProgressBytes)
        return undefined;
    }
  }

  private waitForDisconnect(peer: Peer, watching: Watch): Promise<void> {
    return new Promise(resolve => {
      watching.resume = resolve;
      void peer.closed.then(() => resolve());
      if (this.waits.isCancelled || watching.hasGap) resolve();
    });
  }

  private receive(peer: Peer, update: ViewUpdate): void {
    if (peer !== this.peer || this.watching === undefined) return;
    if (this.watching.buffered !== undefined) {
      this.watching.buffered.push(update);
      return;
    }
    if (this.applyToView(update)) return;
    this.watching.hasGap = true;
    this.watching.resume();
  }

  /** Applies an update to the view; false when it is stale or leaves a gap. */
  private applyToView(update: ViewUpdate): boolean {
    const result = applyUpdate(this.latest, update);
    if (result.kind !== 'applied') return false;
    this.latest = result.view;
    this.watching?.listener(
      result.view,
      update.kind === 'delta' ? update.changes : undefined,
    );
    return true;
  }
}

type Attempt<Value> =
  | {readonly kind: 'answered'; readonly value: Value}
  | {
      readonly kind: 'rejected';
      readonly detail: string;
      readonly maybeApplied: boolean;
    }
  | {
      readonly kind: 'failed';
      readonly detail: string;
      readonly maybeApplied: boolean;
      /** The replica named another one as leader, which can be asked without a delay. */
      readonly redirected: boolean;
    };
