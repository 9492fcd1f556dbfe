import {type Capacity, failUnreachable} from '#model';
import {ExecutorStandIn} from './executor.js';
import type {JournalLine} from './journal.js';
import type {StandInBehaviour} from './behaviour.js';
import {WorkerStandIn} from './worker.js';

export interface StandInOptions {
  readonly target: string;
  /** A loopback port; 0 picks a free one. */
  readonly port: number;
  readonly capacity: Capacity;
  /** The initial behaviour, under its name in the options file. */
  readonly temper: StandInBehaviour;
  /** The interval at which a worker samples its usage, in ms; reports are up to that old. */
  readonly usageLagMs: number;
}

/** A stand-in's counters since its start. The optional ones exist for workers only. */
export interface StandInCounts {
  readonly started: number;
  readonly running: number;
  readonly refused: number;
  readonly stopped?: number;
  readonly throttled?: number;
  readonly checkpointed?: number;
}

/** Stands in for a back end: implements the target protocol, and its tasks only take time. */
export type StandIn = ExecutorStandIn | WorkerStandIn;

/** Starts a stand-in executor or worker, as its capacity says. */
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
