import {type Capacity, failUnreachable} from '#model';
import {ExecutorStandIn} from './executor.js';
import type {JournalLine} from './journal.js';
import type {Temper} from './temper.js';
import {WorkerStandIn} from './worker.js';

export interface StandInOptions {
  readonly target: string;
  /** A port of loopback; 0 takes a free one. */
  readonly port: number;
  readonly capacity: Capacity;
  readonly temper: Temper;
  /** How old a worker's usage reports are, in ms. */
  readonly usageLagMs: number;
}

/** What a stand-in has counted since its start. The parts of guards are a worker's. */
export interface StandInCounts {
  readonly started: number;
  readonly running: number;
  readonly refused: number;
  readonly stopped?: number;
  readonly throttled?: number;
  readonly checkpointed?: number;
}

/** A back end that keeps to the target protocol and works by the clock. */
export type StandIn = ExecutorStandIn | WorkerStandIn;

/** Opens a stand-in of the kind that its capacity names. */
export function openStandIn(
  options: StandInOptions,
  record: (line: JournalLine) => void,
): Promise<StandIn> {
  const {capacity} = options;
  switch (capacity.kind) {
    case 'executor':
      return ExecutorStandIn.listen({...options, capacity}, record);
    case 'worker':
      return WorkerStandIn.listen({...options, capacity}, record);
    default:
      return failUnreachable(capacity);
  }
}
