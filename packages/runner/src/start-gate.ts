import {type Clock, failUnreachable, type Instant} from '#model';
import {
  advanceLoadReturn,
  beginLoadReturn,
  computeOfferedRoom,
  emptyDemand,
  hasCapacityFor,
  type LoadReturn,
  type ObservedSpeed,
  type RunCapacity,
  subtractDemand,
} from '#policy';
import type {Backlog} from './backlog.js';
import type {Run} from './run.js';
import type {RunTable} from './run-table.js';

type StartGateState =
  /** Nothing has been heard of the failure domain since this process started. */
  | {readonly kind: 'unknown'; readonly openAt: Instant}
  | {readonly kind: 'evacuated'}
  | {readonly kind: 'returning'; readonly loadReturn: LoadReturn}
  | {readonly kind: 'full'};

/** Whether a runner's failure domain lets it start runs, and for how much of its executor's room. */
export class StartGate {
  private state: StartGateState;

  /** Waits until `openAt` to hear of the failure domain. */
  constructor(
    private readonly clock: Clock,
    openAt: Instant,
  ) {
    this.state = {kind: 'unknown', openAt};
  }

  /** True while runs may start. */
  get isOpen(): boolean {
    switch (this.state.kind) {
      case 'unknown':
        return this.clock.now() >= this.state.openAt;
      case 'evacuated':
        return false;
      case 'returning':
      case 'full':
        return true;
      default:
        return failUnreachable(this.state);
    }
  }

  /** Notes whether the failure domain is evacuated; false when this changes nothing. */
  setEvacuated(isEvacuated: boolean, speed: ObservedSpeed): boolean {
    const wasEvacuated = this.state.kind === 'evacuated';
    if (this.state.kind === 'unknown') this.state = {kind: 'full'};
    if (isEvacuated === wasEvacuated) return false;
    if (isEvacuated) this.state = {kind: 'evacuated'};
    else this.beginReturn(speed);
    return true;
  }

  /** Begins the return of load anew if it has not ended: another executor has taken the place of the one before. */
  restartReturn(speed: ObservedSpeed): void {
    if (this.state.kind === 'returning') this.beginReturn(speed);
  }

  /** Advances the return of load. */
  advance(speed: ObservedSpeed): void {
    if (this.state.kind !== 'returning') return;
    const {loadReturn} = this.state;
    const next = advanceLoadReturn(loadReturn, speed, this.clock.now());
    this.state =
      next === undefined
        ? {kind: 'full'}
        : {kind: 'returning', loadReturn: next};
  }

  /** Limits an executor's room to the part that is offered now. */
  limitRoom<Room extends RunCapacity | undefined>(
    room: Room,
  ): Room | RunCapacity {
    if (room === undefined || this.state.kind !== 'returning') return room;
    return computeOfferedRoom(room, this.state.loadReturn);
  }

  /** Computes the part of an executor's room that isn't offered now. */
  computeWithheld(room: RunCapacity | undefined): RunCapacity {
    if (room === undefined || this.state.kind !== 'returning') {
      return emptyDemand;
    }
    return subtractDemand(room, this.limitRoom(room));
  }

  /** Whether a waiting run fits beside those at the executor. One may start alone even if it needs more than is offered. */
  hasRoomFor(
    {demand}: Run,
    room: RunCapacity,
    {size, used}: RunTable,
    backlog: Backlog,
  ): boolean {
    const isAlone = size === backlog.size;
    return hasCapacityFor(isAlone ? room : this.limitRoom(room), used, demand);
  }

  private beginReturn(speed: ObservedSpeed): void {
    const loadReturn = beginLoadReturn(speed, this.clock.now());
    this.state = {kind: 'returning', loadReturn};
  }
}
