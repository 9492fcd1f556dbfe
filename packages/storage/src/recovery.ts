import {join} from 'node:path';
import {type Either, Left, Right} from 'purify-ts';
import type {ControlId} from '#model';
import type {RecoveredState, Snapshot} from '#consensus';
import type {Disk} from './disk.js';
import type {StoreError} from './error.js';
import {readFrames} from './frame.js';
import {
  findNumbers,
  formatVersion,
  type LogRecord,
  nameFile,
  readSnapshot,
  type SnapshotRecord,
  temporarySuffix,
} from './record.js';
import {LogReplay} from './replay.js';

/** A segment that holds synced records. */
export interface SegmentInfo {
  readonly number: number;
  /** The last index that any of its records names. */
  readonly lastIndex: number;
}

/** What a folder holds. */
export interface RecoveredFolder {
  /** Unset for a new folder. */
  readonly id?: ControlId;
  readonly state: RecoveredState;
  readonly segments: readonly SegmentInfo[];
}

/** Reads a data folder. Cuts a torn tail off the last segment; drops what a crash left half made. */
export async function recoverFolder(
  disk: Disk,
  folder: string,
): Promise<Either<StoreError, RecoveredFolder>> {
  const names = await disk.list(folder);
  for (const name of names) {
    if (name.endsWith(temporarySuffix)) await disk.remove(join(folder, name));
  }
  const snapshot = await recoverSnapshot(disk, folder, names);
  if (snapshot.isLeft()) return snapshot as Either<StoreError, never>;
  return recoverLog(disk, folder, names, snapshot.unsafeCoerce());
}

async function recoverSnapshot(
  disk: Disk,
  folder: string,
  names: readonly string[],
): Promise<Either<StoreError, Snapshot | undefined>> {
  const number = findNumbers(names, 'snapshot').at(-1);
  if (number === undefined) return Right(undefined);
  const file = join(folder, nameFile('snapshot', number));
  return readFrames(file, await disk.read(file)).chain(({bodies}) => {
    const record = bodies[0] as SnapshotRecord | undefined;
    if (record?.format === formatVersion) return Right(readSnapshot(record));
    return Left<StoreError>({
      kind: 'corrupt',
      file,
      offset: 0,
      expected: `a snapshot of format ${formatVersion}`,
      found: record ? `format ${record.format}` : 'an incomplete one',
    });
  });
}

async function recoverLog(
  disk: Disk,
  folder: string,
  names: readonly string[],
  snapshot: Snapshot | undefined,
): Promise<Either<StoreError, RecoveredFolder>> {
  const numbers = findNumbers(names, 'log');
  let replay = new LogReplay();
  let segments: SegmentInfo[] = [];
  let missing: number | undefined;
  for (const number of numbers) {
    const file = join(folder, nameFile('log', number));
    const isLast = number === numbers.at(-1);
    const expected = (segments.at(-1)?.number ?? number - 1) + 1;
    if (expected !== number) {
      // The removal of replaced segments may last out of order: those before are void.
      missing = expected;
      replay = new LogReplay();
      segments = [];
    }
    const records = await readSegment(disk, file, isLast);
    if (records.isLeft()) return records as Either<StoreError, never>;
    const found = records.unsafeCoerce();
    if (found.length === 0) continue;
    const replayed = replaySegment(replay, file, found);
    if (replayed.isLeft()) return replayed as Either<StoreError, never>;
    segments.push({number, lastIndex: replayed.unsafeCoerce()});
  }
  if (replay.baseIndex > (snapshot?.index ?? 0)) {
    return Left(
      missing === undefined
        ? describeLostSnapshot(folder, replay.baseIndex, snapshot)
        : describeGap(folder, missing),
    );
  }
  return Right({
    ...(replay.head && {id: replay.head.id}),
    state: {
      hardState: replay.hardState,
      ...(snapshot && {snapshot}),
      entries: replay.getEntriesAfter(snapshot),
    },
    segments,
  });
}

/**
 * Reads a segment's records; removes a segment that a crash kept from being begun. The last one is
 * synced: what a killed process had written and not synced is read back, and must not be lost to a
 * later power cut once the next segment goes on from it.
 */
async function readSegment(
  disk: Disk,
  file: string,
  isLast: boolean,
): Promise<Either<StoreError, readonly LogRecord[]>> {
  const data = await disk.read(file);
  const scanned = readFrames(file, data);
  if (scanned.isLeft()) return scanned as Either<StoreError, never>;
  const {bodies, validBytes} = scanned.unsafeCoerce();
  const isWhole = validBytes === data.length && bodies.length > 0;
  if (isWhole && !isLast) return Right(bodies as readonly LogRecord[]);
  if (!isLast) {
    return Left({
      kind: 'corrupt',
      file,
      offset: validBytes,
      expected: 'a complete frame, as later segments follow',
      found: `${data.length - validBytes} bytes of an incomplete one`,
    });
  }
  if (bodies.length === 0) await disk.remove(file);
  else await settleFile(disk, file, validBytes);
  return Right(bodies as readonly LogRecord[]);
}

async function settleFile(
  disk: Disk,
  file: string,
  length: number,
): Promise<void> {
  const opened = await disk.open(file);
  await opened.truncate(length);
  await opened.sync();
  await opened[Symbol.asyncDispose]();
}

/** Replays a segment; returns the last index that it names. */
function replaySegment(
  replay: LogReplay,
  file: string,
  records: readonly LogRecord[],
): Either<StoreError, number> {
  const format = records[0].head?.format;
  if (format !== formatVersion) {
    return Left({
      kind: 'corrupt',
      file,
      offset: 0,
      expected: `a segment head of format ${formatVersion}`,
      found: format === undefined ? 'none' : `format ${format}`,
    });
  }
  let lastIndex = 0;
  for (const [frame, record] of records.entries()) {
    const error = replay.replay(record, {file, frame});
    if (error) return Left(error);
    lastIndex = Math.max(lastIndex, replay.lastIndex);
  }
  return Right(lastIndex);
}

function describeGap(folder: string, number: number): StoreError {
  return {
    kind: 'corrupt',
    file: join(folder, nameFile('log', number)),
    offset: 0,
    expected: 'a log segment',
    found: 'no file',
  };
}

function describeLostSnapshot(
  folder: string,
  index: number,
  snapshot: Snapshot | undefined,
): StoreError {
  return {
    kind: 'corrupt',
    file: join(folder, nameFile('snapshot', index)),
    offset: 0,
    expected: `a snapshot of index ${index} or later, where the log begins`,
    found: snapshot ? `one of index ${snapshot.index}` : 'none',
  };
}
