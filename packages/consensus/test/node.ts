import type {LogEntry, Replica} from '#consensus';
import {MemoryDisk} from './disk.js';

interface PendingWrite {
  readonly term: number;
  readonly command: string;
}

/** A node's monotonic clock, with its own rate and offset. */
interface NodeClock {
  readonly rate: number;
  readonly offset: number;
}

/** A simulated node: the disk of a replica and, while it runs, the replica. */
export interface Node {
  readonly id: string;
  readonly disk: MemoryDisk;
  readonly clock: NodeClock;
  replica: Replica | undefined;
  /** Incremented at each start and crash; events scheduled in an earlier incarnation are dropped. */
  incarnation: number;
  applied: number;
  digest: number;
  snapshotIndex: number;
  writes: Map<number, PendingWrite>;
  wakeAt: number;
  diskLost: boolean;
}

export function createNode(
  id: string,
  entries: readonly LogEntry[],
  clock: NodeClock,
): Node {
  return {
    id,
    disk: new MemoryDisk(entries),
    clock,
    replica: undefined,
    incarnation: 0,
    applied: 0,
    digest: 0,
    snapshotIndex: 0,
    writes: new Map(),
    wakeAt: Infinity,
    diskLost: false,
  };
}

export function readClock({clock}: Node, now: number): number {
  return clock.offset + now * clock.rate;
}
