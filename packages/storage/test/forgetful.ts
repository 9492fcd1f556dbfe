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

/** A file system in memory that loses what was not synced: data by sectors, names one by one. */
export class ForgetfulDisk implements Disk {
  private names = new Map<string, Inode>();
  private syncedNames = new Map<string, Inode>();
  /** Counts operations down; the one that reaches 0 and all later ones fail. */
  operationsLeft = Infinity;

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

  /** Loses power: each name change and each sector that was not synced lasts or not. */
  losePower(random: RandomGenerator): void {
    const flip = () => uniformInt(random, 0, 1) === 0;
    const kept = new Map(this.syncedNames);
    for (const [name, inode] of this.names) if (flip()) kept.set(name, inode);
    for (const name of this.syncedNames.keys()) {
      if (!this.names.has(name) && flip()) kept.delete(name);
    }
    for (const inode of new Set(kept.values())) {
      inode.data = keepSectors(inode, flip);
      inode.synced = Buffer.from(inode.data);
    }
    this.names = kept;
    this.syncedNames = new Map(kept);
    this.operationsLeft = Infinity;
  }

  /** Changes one byte, as a failing disk does. */
  toggleByte(file: string, offset: number): void {
    this.find(file).data[offset] ^= 0x55;
  }

  /** Cuts a file's end off. */
  cut(file: string, bytes: number): void {
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
    if (this.operationsLeft <= 0) throw new Error('EIO: the power is off');
  }
}

function keepSectors({data, synced}: Inode, flip: () => boolean): Buffer {
  if (data.equals(synced)) return data;
  const length = flip() ? data.length : synced.length;
  const kept = Buffer.alloc(length);
  synced.copy(kept);
  for (let pos = 0; pos < length; pos += sectorBytes) {
    if (flip()) data.copy(kept, pos, pos, Math.min(pos + sectorBytes, length));
  }
  return kept;
}
