import {basename, dirname} from 'node:path';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {Right} from 'purify-ts';
import type {Disk, DiskFile} from '#storage';

interface Inode {
  data: Buffer;
  synced: Buffer;
}

const sectorBytes = 512;

/** An in-memory file system that can lose what was not synced: data by sector, directory entries one by one. */
export class SimulatedDisk implements Disk {
  private names = new Map<string, Inode>();
  private syncedNames = new Map<string, Inode>();
  /** Decreases with each operation; the one that reaches 0 and all later ones fail. */
  operationsLeft = Infinity;
  /** Syncs end only once this has resolved. */
  stall: Promise<void> | undefined;
  /** The code of the error with which operations fail. */
  errorCode = 'EIO';

  readonly lock = async () => Right({[Symbol.asyncDispose]: async () => {}});

  async createFolder(): Promise<void> {
    this.countOperation();
  }

  async list(folder: string): Promise<readonly string[]> {
    return [...this.names.keys()]
      .filter(name => dirname(name) === folder)
      .map(name => basename(name))
      .sort();
  }

  async read(file: string): Promise<Buffer> {
    return Buffer.from(this.find(file).data);
  }

  async open(file: string): Promise<DiskFile> {
    this.countOperation();
    const inode = this.names.get(file) ?? {
      data: Buffer.alloc(0),
      synced: Buffer.alloc(0),
    };
    this.names.set(file, inode);
    return {
      write: async (data, position) => {
        this.countOperation();
        const length = Math.max(inode.data.length, position + data.byteLength);
        const grown = Buffer.alloc(length);
        inode.data.copy(grown);
        grown.set(data, position);
        inode.data = grown;
      },
      truncate: async length => {
        this.countOperation();
        inode.data = Buffer.from(inode.data.subarray(0, length));
      },
      sync: async () => {
        await this.stall;
        this.countOperation();
        inode.synced = Buffer.from(inode.data);
      },
      [Symbol.asyncDispose]: async () => {},
    };
  }

  async move(from: string, to: string): Promise<void> {
    this.countOperation();
    this.names.set(to, this.find(from));
    this.names.delete(from);
  }

  async remove(file: string): Promise<void> {
    this.countOperation();
    this.names.delete(file);
  }

  async syncFolder(): Promise<void> {
    this.countOperation();
    this.syncedNames = new Map(this.names);
  }

  /** Keeps or loses each unsynced directory entry change and each unsynced sector at random. */
  simulatePowerLoss(random: RandomGenerator): void {
    const chooseRandomly = () => uniformInt(random, 0, 1) === 0;
    const survivingNames = new Map(this.syncedNames);
    for (const [name, inode] of this.names)
      if (chooseRandomly()) survivingNames.set(name, inode);
    for (const name of this.syncedNames.keys()) {
      if (!this.names.has(name) && chooseRandomly())
        survivingNames.delete(name);
    }
    for (const inode of new Set(survivingNames.values())) {
      inode.data = mergeSectors(inode, chooseRandomly);
      inode.synced = Buffer.from(inode.data);
    }
    this.names = survivingNames;
    this.syncedNames = new Map(survivingNames);
    this.operationsLeft = Infinity;
  }

  /** Flips bits of one byte to simulate corruption. */
  toggleByte(file: string, offset: number): void {
    this.find(file).data[offset] ^= 0x55;
  }

  append(file: string, bytes: Uint8Array): void {
    const inode = this.find(file);
    inode.data = Buffer.concat([inode.data, bytes]);
  }

  truncateEnd(file: string, bytes: number): void {
    const inode = this.find(file);
    inode.data = Buffer.from(inode.data.subarray(0, inode.data.length - bytes));
  }

  measure(file: string): number {
    return this.find(file).data.length;
  }

  private find(file: string): Inode {
    const inode = this.names.get(file);
    if (!inode) throw new Error(`ENOENT: ${file}`);
    return inode;
  }

  private countOperation(): void {
    this.operationsLeft--;
    if (this.operationsLeft > 0) return;
    const error = new Error(`${this.errorCode}: simulated failure`);
    throw Object.assign(error, {code: this.errorCode});
  }
}

function mergeSectors(
  {data, synced}: Inode,
  chooseRandomly: () => boolean,
): Buffer {
  if (data.equals(synced)) return data;
  const length = chooseRandomly() ? data.length : synced.length;
  const merged = Buffer.alloc(length);
  synced.copy(merged);
  for (let pos = 0; pos < length; pos += sectorBytes) {
    if (chooseRandomly())
      data.copy(merged, pos, pos, Math.min(pos + sectorBytes, length));
  }
  return merged;
}
