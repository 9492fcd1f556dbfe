import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

type Collect = (options: {readonly type: 'minor'}) => void;

const maxYoungBytes = 4 * 1024 * 1024;

let collect: Collect | undefined;

/** Finds the runtime's garbage collection; without it, garbage is left to the runtime. */
function findCollect(): Collect {
  if (collect !== undefined) return collect;
  try {
    setFlagsFromString('--expose-gc');
    collect = runInNewContext('gc') as Collect;
    setFlagsFromString('--no-expose-gc');
  } catch {
    collect = () => {};
  }
  return collect;
}

/**
 * Collects garbage that clients have caused before it outgrows a small host: the runtime lets 64 MB
 * of chunks gather outside its heap before it looks for unused ones.
 */
export class GarbageLimiter {
  private chunkBytes = 0;

  /** Notes a chunk that was copied or dropped. */
  noteChunk(bytes: number): void {
    this.chunkBytes += bytes;
    if (this.chunkBytes < maxYoungBytes) return;
    this.chunkBytes = 0;
    findCollect()({type: 'minor'});
  }
}
