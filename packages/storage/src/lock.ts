import {readFile, rename, rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import process from 'node:process';
import {type Either, Left, Right} from 'purify-ts';
import {describeFailure, type StoreError} from './error.js';

const lockName = 'lock';
const maxAttempts = 3;
/** Of `/proc/PID/stat`, counted after the command name's closing bracket. */
const startTimeField = 19;

interface Holder {
  readonly pid: number;
  /** Tells a process from a later one with the same pid. */
  readonly life: string;
}

/**
 * Claims a folder by a file that names this process. A file left by a process
 * that has ended is replaced.
 */
export async function lockFolder(
  folder: string,
): Promise<Either<StoreError, AsyncDisposable>> {
  const file = join(folder, lockName);
  try {
    return await lockFile(file);
  } catch (error) {
    return Left(describeFailure(file, error));
  }
}

async function lockFile(
  file: string,
): Promise<Either<StoreError, AsyncDisposable>> {
  const own: Holder = {pid: process.pid, life: await readLife(process.pid)};
  const text = JSON.stringify(own);
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    if (await writeNew(file, text)) {
      return Right({[Symbol.asyncDispose]: () => rm(file, {force: true})});
    }
    const found = await readHolder(file);
    if (found && (await isAlive(found))) {
      return Left({kind: 'in-use', file, pid: found.pid});
    }
    await removeStale(file, found);
  }
  return Left({kind: 'failed', file, detail: 'another process claims it too'});
}

async function writeNew(file: string, text: string): Promise<boolean> {
  try {
    await writeFile(file, text, {flag: 'wx'});
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EEXIST') return false;
    throw error;
  }
}

/** Reads who holds a lock; undefined where the file is gone or incomplete. */
async function readHolder(file: string): Promise<Holder | undefined> {
  try {
    const found = JSON.parse(await readFile(file, 'utf8')) as Partial<Holder>;
    const {pid, life} = found;
    if (typeof pid !== 'number' || typeof life !== 'string') return undefined;
    return {pid, life};
  } catch {
    return undefined;
  }
}

/** Moves a stale lock aside, then makes sure that it was this one and not a new holder's. */
async function removeStale(
  file: string,
  judged: Holder | undefined,
): Promise<void> {
  const aside = `${file}.${process.pid}`;
  try {
    await rename(file, aside);
  } catch {
    return;
  }
  const moved = await readHolder(aside);
  const replaced = moved && moved.life !== judged?.life;
  if (replaced) await rename(aside, file);
  else await rm(aside, {force: true});
}

async function isAlive({pid, life}: Holder): Promise<boolean> {
  try {
    process.kill(pid, 0);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ESRCH') return false;
  }
  const present = await readLife(pid);
  return present === '' || present === life;
}

/** Reads the boot and the start time of a process; empty where the system doesn't tell. */
async function readLife(pid: number): Promise<string> {
  try {
    const boot = await readFile('/proc/sys/kernel/random/boot_id', 'utf8');
    const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return `${boot.trim()} ${fields[startTimeField]}`;
  } catch {
    return '';
  }
}
