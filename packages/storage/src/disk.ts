import {mkdir, open, readdir, readFile, rename, rm} from 'node:fs/promises';
import {dirname, resolve} from 'node:path';
import {type Either, Right} from 'purify-ts';
import type {StoreError} from './error.js';
import {lockFolder} from './lock.js';

/** An open file. Every method rejects with the operating system's error. */
export interface DiskFile extends AsyncDisposable {
  write(data: Uint8Array, position: number): Promise<void>;
  truncate(length: number): Promise<void>;
  /** Resolves once the file's data and length are on the disk. */
  sync(): Promise<void>;
}

/** What a store asks of a file system; tests pass one that forgets. */
export interface Disk {
  /** Makes a folder that lasts, with its parents. */
  createFolder(folder: string): Promise<void>;
  /** Claims a folder for this process until disposed. */
  lock(folder: string): Promise<Either<StoreError, AsyncDisposable>>;
  /** Lists a folder's files by name. */
  list(folder: string): Promise<readonly string[]>;
  read(file: string): Promise<Buffer>;
  /** Opens a file for writing; makes it when absent. */
  open(file: string): Promise<DiskFile>;
  move(from: string, to: string): Promise<void>;
  remove(file: string): Promise<void>;
  /** Resolves once the folder's names are on the disk. */
  syncFolder(folder: string): Promise<void>;
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** The machine's own file system. */
export const nodeDisk: Disk = {
  createFolder: async folder => {
    const first = await mkdir(folder, {recursive: true});
    if (first === undefined) return;
    const top = dirname(resolve(first));
    for (let made = resolve(folder); made !== top; made = dirname(made)) {
      await syncFolder(dirname(made));
    }
  },
  lock: lockFolder,
  list: async folder => (await readdir(folder)).sort(),
  read: file => readFile(file),
  open: async file => {
    const handle = await open(file, 'a').then(async made => {
      await made.close();
      return open(file, 'r+');
    });
    return {
      write: (data, position) => writeFully(handle, data, position),
      truncate: length => handle.truncate(length),
      sync: () => handle.datasync(),
      [Symbol.asyncDispose]: () => handle.close(),
    };
  },
  move: rename,
  remove: file => rm(file, {force: true}),
  syncFolder,
};

async function writeFully(
  handle: Awaited<ReturnType<typeof open>>,
  data: Uint8Array,
  position: number,
): Promise<void> {
  let written = 0;
  while (written < data.byteLength) {
    const {bytesWritten} = await handle.write(
      data,
      written,
      data.byteLength - written,
      position + written,
    );
    written += bytesWritten;
  }
}

/** For a folder that one process at a time is given by its surroundings, and that may show no other process. */
export const unlockedDisk: Disk = {
  ...nodeDisk,
  lock: () => Promise.resolve(Right({[Symbol.asyncDispose]: async () => {}})),
};
