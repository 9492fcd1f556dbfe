const blockBytes = 8192;

/** Blocks of memory that are used again, so that bodies that come and go leave no garbage. */
export class BlockPool {
  private readonly free: Buffer[] = [];

  /** `maxBytes` is how much unused memory is kept. */
  constructor(private readonly maxBytes: number) {}

  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
  }

  put(blocks: readonly Buffer[]): void {
    for (const block of blocks) {
      const keptBytes = (this.free.length + 1) * blockBytes;
      if (keptBytes <= this.maxBytes) this.free.push(block);
    }
  }
}

/**
 * Bytes that arrive in pieces, copied into blocks, so that they cost their size and no more than a
 * block, in however many pieces they come.
 */
export class BlockBuffer {
  private blocks: Buffer[] = [];
  private size = 0;
  private room = 0;

  constructor(private readonly pool: BlockPool = new BlockPool(0)) {}

  /** The bytes appended so far. */
  get length(): number {
    return this.size;
  }

  /** The memory held, in bytes. */
  get capacity(): number {
    return this.blocks.length * blockBytes;
  }

  /** Appends a copy of a chunk. */
  append(chunk: Buffer): void {
    let pos = 0;
    while (pos < chunk.length) {
      if (this.room === 0) {
        this.blocks.push(this.pool.take());
        this.room = blockBytes;
      }
      const block = this.blocks.at(-1)!;
      const copied = chunk.copy(block, blockBytes - this.room, pos);
      pos += copied;
      this.room -= copied;
    }
    this.size += chunk.length;
  }

  /** Returns the bytes and becomes empty. */
  take(): Buffer {
    const bytes = Buffer.concat(this.blocks, this.size);
    this.drop();
    return bytes;
  }

  /** Becomes empty. */
  drop(): void {
    this.pool.put(this.blocks);
    this.blocks = [];
    this.size = 0;
    this.room = 0;
  }
}
