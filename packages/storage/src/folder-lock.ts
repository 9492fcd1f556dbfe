import {readFile, rename, rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import process from 'node:process';
import {type Either, Left, Right} from 'purify-ts';
import {toStoreError, type StoreError} from './error.js';

const lockFileName = 'lock';
const maxAttempts = 3;
/** Index of the start time in `/proc/PID/stat`, counted after the closing parenthesis of the command name. */
const startTimeFieldIndex = 19;

interface LockHolder {
  readonly pid: number;
  /** Boot id and start time; distinguishes a process from a later one with the same pid. */
  readonly life: string;
}

/**
 * Locks a folder with a file that identifies this process. The file of a process
 * that has ended is replaced.
 */
export async function lockFolder(
  folder: string,
): Promise<Either<StoreError, AsyncDisposable>> {
  const file = join(folder, lockFileName);
  try {
    return await lockFile(file);
  } catch (error) {
    return Left(toStoreError(file, error));
  }
}

async function lockFile(
  file: string,
): Promise<Either<StoreError, AsyncDisposable>> {
  const own: LockHolder = {
    pid: process.pid,
    life: await readProcessIdentity(process.pid),
  };
  const text = JSON.stringify(own);
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    if (await createFile(file, text)) {
      return Right({[Symbol.asyncDispose]: () => rm(file, {force: true})});
    }
    const found = await readHolder(file);
    if (found && (await isAlive(found))) {
      return Left({kind: 'in-use', file, pid: found.pid});
    }
    await removeStaleLock(file, found);
  }
  return Left({
    kind: 'failed',
    file,
    detail: 'another process is claiming the lock at the same time',
  });
}

async function createFile(file: string, text: string): Promise<boolean> {
  try {
    await writeFile(file, text, {flag: 'wx'});
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EEXIST') return false;
    throw error;
  }
}

/** Reads the holder of a lock; undefined when the file is missing or incomplete. */
async function readHolder(file: string): Promise<LockHolder | undefined> {
  try {
    const found = JSON.parse(
      await readFile(file, 'utf8'),
    ) as Partial<LockHolder>;
    const {pid, life} = found;
    if (typeof pid !== 'number' || typeof life !== 'string') return undefined;
    return {pid, life};
  } catch {
    return undefined;
  }
}

/** Renames a stale lock before deleting it, and moves it back if another process has replaced it meanwhile. */
async function removeStaleLock(
  file: string,
  staleHolder: LockHolder | undefined,
): Promise<void> {
  const movedFile = `${file}.${process.pid}`;
  try {
    await rename(file, movedFile);
  } catch {
    return;
  }
  const movedHolder = await readHolder(movedFile);
  const isOtherHolder = movedHolder && movedHolder.life !== staleHolder?.life;
  if (isOtherHolder) await rename(movedFile, file);
  else await rm(movedFile, {force: true});
}

async function isAlive({pid, life}: LockHolder): Promise<boolean> {
  try {
    process.kill(pid, 0);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ESRCH') return false;
  }
  const currentIdentity = await readProcessIdentity(pid);
  return currentIdentity === '' || currentIdentity === life;
}

/** Reads the boot id and the start time of a process; empty when the system does not provide them. */
async function readProcessIdentity(pid: number): Promise<string> {
  try {
    const boot = await readFile('/proc/sys/kernel/random/boot_id', 'utf8');
    const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return `${boot.trim()} ${fields[startTimeFieldIndex]}`;
  } catch {
    return '';
  }
}
