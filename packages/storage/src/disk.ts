import {mkdir, open, readdir, readFile, rename, rm} from 'node:fs/promises';
import {dirname, resolve} from 'node:path';
import {type Either, Right} from 'purify-ts';
import type {StoreError} from './error.js';
import {lockFolder} from './folder-lock.js';

/** An open file. Every method rejects with the error of the operating system. */
export interface DiskFile extends AsyncDisposable {
  write(data: Uint8Array, position: number): Promise<void>;
  truncate(length: number): Promise<void>;
  /** Resolves once the file's data and length are on the disk. */
  sync(): Promise<void>;
}

/** The file system operations that a store needs; tests simulate power loss with their own implementation. */
export interface Disk {
  /** Creates a folder and its missing parents durably. */
  createFolder(folder: string): Promise<void>;
  /** Locks a folder for this process until disposed. */
  lock(folder: string): Promise<Either<StoreError, AsyncDisposable>>;
  /** Lists the names of a folder's files, sorted. */
  list(folder: string): Promise<readonly string[]>;
  read(file: string): Promise<Buffer>;
  /** Opens a file for writing; creates it when absent. */
  open(file: string): Promise<DiskFile>;
  move(from: string, to: string): Promise<void>;
  remove(file: string): Promise<void>;
  /** Resolves once the folder's directory entries are on the disk. */
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

/** The file system of the operating system. */
export const nodeDisk: Disk = {
  createFolder: async folder => {
    const firstCreated = await mkdir(folder, {recursive: true});
    if (firstCreated === undefined) return;
    const topParent = dirname(resolve(firstCreated));
    for (
      let createdFolder = resolve(folder);
      createdFolder !== topParent;
      createdFolder = dirname(createdFolder)
    ) {
      await syncFolder(dirname(createdFolder));
    }
  },
  lock: lockFolder,
  list: async folder => (await readdir(folder)).sort(),
  read: file => readFile(file),
  open: async file => {
    // 'r+' requires an existing file, and 'a' ignores the position of writes on Linux.
    const handle = await open(file, 'a').then(async created => {
      await created.close();
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

/**
 * The file system of the operating system without folder locks: for deployments that give
 * a folder to one process at a time and where the holder of a lock file cannot be looked up.
 */
export const unlockedDisk: Disk = {
  ...nodeDisk,
  lock: () => Promise.resolve(Right({[Symbol.asyncDispose]: async () => {}})),
};
