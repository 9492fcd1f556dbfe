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
import {Pause} from './pause.js';
import {applyUpdate, emptyView, type View} from './view.js';

/** The requests that control answers. Every one is idempotent. */
export type ControlRequest = Extract<RequestName, `control.${string}`>;

/** A request's result without the redirection to the leader. */
export type ControlValue<Name extends ControlRequest> =
  ResultOf<Name> extends
    {readonly kind: 'done'; readonly value: infer Value} | NotLeader
    ? Value
    : ResultOf<Name>;

/** Why a request has no result by its deadline. */
export interface ControlFailure {
  /** `rejected`: control found the request itself wrong. `unavailable`: no leader answered. */
  readonly kind: 'unavailable' | 'rejected';
  readonly detail: string;
  /** False only when the request certainly changed nothing and never will. */
  readonly maybeApplied: boolean;
}

export interface ControlClientOptions {
  /** Where the control replicas listen; at least one. */
  readonly controls: readonly Address[];
  readonly liveness?: Liveness;
  readonly clock?: Clock;
  /** Spreads the clients over the replicas: where in the list this one begins. */
  readonly first?: number;
  /** Told what becomes of the connection, for the log. */
  readonly onEvent?: (event: ControlEvent) => void;
}

/** What became of a client's connection to control. */
export type ControlEvent =
  | {readonly kind: 'connected'; readonly control: Address}
  | {
      readonly kind: 'unreachable';
      readonly control: Address;
      readonly detail: string;
    }
  /** The connection was given up, or was over. */
  | {
      readonly kind: 'left';
      readonly control: Address;
      readonly detail: string;
    }
  /** The view is followed at a replica, from this revision. */
  | {
      readonly kind: 'watching';
      readonly control: Address;
      readonly revision: number;
    };

/** Receives each new view and the changes that led to it; unset after a full view. */
export type ViewListener = (
  view: View,
  changes: readonly ViewChange[] | undefined,
) => void;

const attemptTimeoutMs = 2000;
/** A request with less time left is not sent: it could only become uncertain. */
const minAttemptMs = 5;
const firstPauseMs = 20;
const maxPauseMs = 100;
/** Redirections that a request follows without a pause. */
const maxRedirects = 2;

interface Watching {
  readonly topics: WatchParams['topics'];
  readonly listener: ViewListener;
  /** Updates that came before the answer to the watch request. */
  early: ViewUpdate[] | undefined;
  /** Changes are missing: the watch must be resumed. */
  hasGap: boolean;
  resume: () => void;
}

/**
 * A process's one connection to control. It looks for the leader, moves on from a replica that
 * fails, is silent or lags, and resumes the watch wherever it goes.
 */
export class ControlClient implements AsyncDisposable {
  private readonly clock: Clock;
  private readonly nonce = randomUUID();
  private readonly pause = new Pause();
  private readonly known: Address[];
  private next: Address;
  private dialling: Promise<Either<string, Peer>> | undefined;
  private peer: Peer | undefined;
  private watching: Watching | undefined;
  private watchEnded: Promise<void> = Promise.resolve();
  private latest: View = emptyView;

  constructor(private readonly options: ControlClientOptions) {
    const {controls, first = 0} = options;
    assertInvariant(controls.length > 0, 'no control addresses are given');
    this.clock = options.clock ?? monotonicClock;
    this.known = [...controls];
    this.next = controls[first % controls.length];
  }

  /** The last view that the watch brought; empty before. */
  get view(): View {
    return this.latest;
  }

  /**
   * Asks control, retrying at other replicas until the deadline. A lease in the answer counts
   * from this call, which is no later than the sending.
   */
  async request<Name extends ControlRequest>(
    method: Name,
    params: ParamsOf<Name>,
    deadline: Instant,
  ): Promise<Either<ControlFailure, ControlValue<Name>>> {
    const asked =
      method === 'control.openEntry' ? {nonce: this.nonce, ...params} : params;
    let maybeApplied = false;
    let detail = 'the deadline has passed';
    let pauseMs = firstPauseMs;
    let redirects = 0;
    while (!this.pause.isOver && this.clock.now() + minAttemptMs < deadline) {
      const connected = await this.connect(deadline);
      const peer = connected.extract();
      if (typeof peer === 'string') {
        detail = peer;
      } else {
        const outcome = await this.tryRequest(peer, method, asked, deadline);
        if (outcome.kind === 'answered') return Right(outcome.value);
        detail = outcome.detail;
        maybeApplied ||= outcome.maybeApplied;
        if (outcome.kind === 'rejected') {
          return Left({kind: 'rejected', detail, maybeApplied});
        }
        if (outcome.redirected && redirects++ < maxRedirects) continue;
      }
      await this.pause.wait(Math.min(pauseMs, deadline - this.clock.now()));
      pauseMs = Math.min(maxPauseMs, pauseMs * 2);
    }
    return Left({kind: 'unavailable', detail, maybeApplied});
  }

  /**
   * Follows the view. The listener is called with ever newer revisions, first with a full view.
   * One watch a client.
   */
  watch(topics: WatchParams['topics'], listener: ViewListener): void {
    assertInvariant(this.watching === undefined, 'the client watches already');
    this.watching = {
      topics,
      listener,
      early: undefined,
      hasGap: false,
      resume: () => {},
    };
    this.watchEnded = this.followView(this.watching);
  }

  /** Ends the watch and the connection; requests under way fail as unavailable. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.pause.end();
    this.watching?.resume();
    this.peer?.close('closed by this end');
    const dialled = await this.dialling;
    dialled?.ifRight(peer => peer.close('closed by this end'));
    await this.watchEnded;
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
    const reply = await peer.request(method, params, attemptDeadline);
    return reply.caseOf<Attempt<ControlValue<Name>>>({
      Left: failure => this.judgeFailure(peer, failure),
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

  private judgeFailure(peer: Peer, failure: RpcFailure): Attempt<never> {
    if (failure.kind === 'rejected') {
      return {
        kind: 'rejected',
        detail: failure.detail,
        maybeApplied: false,
      };
    }
    this.leave(peer, failure.kind);
    const detail =
      failure.kind === 'timeout' ? 'no answer in time' : failure.detail;
    return {kind: 'failed', detail, maybeApplied: true, redirected: false};
  }

  private followRedirect(peer: Peer, reply: NotLeader): Attempt<never> {
    const {leader, maybeApplied = false} = reply;
    const moves =
      leader !== undefined && this.peer === peer && leader !== this.next;
    if (this.peer === peer) this.leave(peer, 'not the leader', leader);
    return {
      kind: 'failed',
      detail: 'no control replica leads',
      maybeApplied,
      redirected: moves,
    };
  }

  private async connect(deadline: Instant): Promise<Either<string, Peer>> {
    if (this.peer?.isOpen) return Right(this.peer);
    if (this.peer !== undefined) this.leave(this.peer, 'closed');
    this.dialling ??= this.dial();
    const remainingMs = deadline - this.clock.now();
    const dialled = await this.pause.race(this.dialling, remainingMs);
    return dialled ?? Left('no connection by the deadline');
  }

  private async dial(): Promise<Either<string, Peer>> {
    const address = this.next;
    const dialled = await dialPeer(
      address,
      {'watcher.update': (update, peer) => this.receive(peer, update)},
      monotonicClock.now() + dialTimeoutMs,
      this.options.liveness,
    );
    this.dialling = undefined;
    dialled
      .ifRight(peer => {
        if (this.pause.isOver) peer.close('closed by this end');
        this.peer = peer;
        this.tell({kind: 'connected', control: address});
      })
      .ifLeft(detail => {
        this.rotate(address);
        this.tell({kind: 'unreachable', control: address, detail});
      });
    return dialled;
  }

  private leave(peer: Peer, cause: string, leader?: Address): void {
    if (this.peer !== peer) return;
    this.peer = undefined;
    const left = this.next;
    if (leader === undefined || leader === left) this.rotate(left);
    else this.next = leader;
    peer.close(cause);
    this.tell({kind: 'left', control: left, detail: cause});
  }

  private tell(event: ControlEvent): void {
    this.options.onEvent?.(event);
  }

  private rotate(from: Address): void {
    const at = this.known.indexOf(from);
    this.next = this.known[(at + 1) % this.known.length];
  }

  private async followView(watching: Watching): Promise<void> {
    let pauseMs = firstPauseMs;
    while (!this.pause.isOver) {
      const connected = await this.connect(this.clock.now() + dialTimeoutMs);
      const peer = connected.extract();
      if (typeof peer !== 'string' && (await this.subscribe(peer, watching))) {
        pauseMs = firstPauseMs;
        await this.waitForLoss(peer, watching);
      }
      await this.pause.wait(pauseMs);
      pauseMs = Math.min(maxPauseMs, pauseMs * 2);
    }
  }

  private async subscribe(peer: Peer, watching: Watching): Promise<boolean> {
    watching.early = [];
    watching.hasGap = false;
    const reply = await peer.request(
      'control.watch',
      {since: this.latest.revision, topics: watching.topics},
      monotonicClock.now() + attemptTimeoutMs,
    );
    const early = watching.early;
    watching.early = undefined;
    const taken = reply
      .map(first => [first, ...early].every(update => this.take(update)))
      .orDefault(false);
    if (taken) {
      const {revision} = this.latest;
      this.tell({kind: 'watching', control: this.next, revision});
    } else {
      this.leave(peer, 'its view cannot be followed');
    }
    return taken;
  }

  private waitForLoss(peer: Peer, watching: Watching): Promise<void> {
    return new Promise(resolve => {
      watching.resume = resolve;
      void peer.closed.then(() => resolve());
      if (this.pause.isOver || watching.hasGap) resolve();
    });
  }

  private receive(peer: Peer, update: ViewUpdate): void {
    if (peer !== this.peer || this.watching === undefined) return;
    if (this.watching.early !== undefined) {
      this.watching.early.push(update);
      return;
    }
    if (this.take(update)) return;
    this.watching.hasGap = true;
    this.watching.resume();
  }

  /** Returns false when the update does not follow from the view. */
  private take(update: ViewUpdate): boolean {
    const step = applyUpdate(this.latest, update);
    if (step.kind !== 'applied') return false;
    this.latest = step.view;
    this.watching?.listener(
      step.view,
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
      /** Another replica is known to lead: ask it at once. */
      readonly redirected: boolean;
    };
