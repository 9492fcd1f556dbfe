import {join} from 'node:path';
import {type Either, Left, Right} from 'purify-ts';
import type {ControlId} from '#model';
import type {RecoveredState, Snapshot} from '#consensus';
import type {Disk} from './disk.js';
import type {StoreError} from './error.js';
import {readFrames, type ScannedFrame} from './frame.js';
import {
  listFileNumbers,
  formatVersion,
  type LogRecord,
  formatFileName,
  decodeSnapshot,
  type SnapshotRecord,
  temporarySuffix,
} from './record.js';
import {LogReplay} from './log-replay.js';

/** A segment that holds synced records. */
export interface SegmentInfo {
  readonly number: number;
  /**
   * The maximum of the log's last index over the segment's records, as records may shorten the log;
   * Infinity while the segment is open.
   */
  readonly maxLastIndex: number;
}

/** The contents of a data folder. */
export interface RecoveredFolder {
  /** Undefined for a new folder. */
  readonly id?: ControlId;
  readonly state: RecoveredState;
  readonly segments: readonly SegmentInfo[];
}

/** Reads a data folder. Truncates a torn tail of the last segment and removes temporary files that a crash left. */
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
  const number = listFileNumbers(names, 'snapshot').at(-1);
  if (number === undefined) return Right(undefined);
  const file = join(folder, formatFileName('snapshot', number));
  return readFrames(file, await disk.read(file)).chain(({frames}) => {
    const record = frames[0]?.body as SnapshotRecord | undefined;
    if (record?.format === formatVersion) return Right(decodeSnapshot(record));
    return Left<StoreError>({
      kind: 'corrupt',
      file,
      offset: 0,
      expected: `a snapshot of format ${formatVersion}`,
      found: record ? `format ${record.format}` : 'an incomplete snapshot',
    });
  });
}

async function recoverLog(
  disk: Disk,
  folder: string,
  names: readonly string[],
  snapshot: Snapshot | undefined,
): Promise<Either<StoreError, RecoveredFolder>> {
  const numbers = listFileNumbers(names, 'log');
  let replay = new LogReplay();
  let segments: SegmentInfo[] = [];
  let missingNumber: number | undefined;
  for (const number of numbers) {
    const file = join(folder, formatFileName('log', number));
    const isLast = number === numbers.at(-1);
    const expectedNumber = (segments.at(-1)?.number ?? number - 1) + 1;
    if (expectedNumber !== number) {
      // Removals of obsolete segments may become durable out of order: segments before a gap are obsolete.
      missingNumber = expectedNumber;
      replay = new LogReplay();
      segments = [];
    }
    const frames = await recoverSegment(disk, file, isLast);
    if (frames.isLeft()) return frames as Either<StoreError, never>;
    const found = frames.unsafeCoerce();
    if (found.length === 0) continue;
    const replayed = replaySegment(replay, file, found);
    if (replayed.isLeft()) return replayed as Either<StoreError, never>;
    segments.push({number, maxLastIndex: replayed.unsafeCoerce()});
  }
  if (replay.baseIndex > (snapshot?.index ?? 0)) {
    return Left(
      missingNumber === undefined
        ? describeMissingSnapshot(folder, replay.baseIndex, snapshot)
        : describeMissingSegment(folder, missingNumber),
    );
  }
  return Right({
    ...(replay.header && {id: replay.header.id}),
    state: {
      hardState: replay.hardState,
      ...(snapshot && {snapshot}),
      entries: replay.getEntriesAfter(snapshot),
    },
    segments,
  });
}

/**
 * Reads the records of a segment. In the last segment, truncates a torn frame; removes the segment
 * if it has no complete record, because a crash interrupted its creation. The last segment is
 * synced: records that a killed process wrote but did not sync are recovered, and a later power loss
 * must not drop them once the next segment continues from them.
 */
async function recoverSegment(
  disk: Disk,
  file: string,
  isLast: boolean,
): Promise<Either<StoreError, readonly ScannedFrame[]>> {
  const data = await disk.read(file);
  const scanned = readFrames(file, data);
  if (scanned.isLeft()) return scanned as Either<StoreError, never>;
  const {frames, validBytes} = scanned.unsafeCoerce();
  const isWhole = validBytes === data.length && frames.length > 0;
  if (isWhole && !isLast) return Right(frames);
  if (!isLast) {
    return Left({
      kind: 'corrupt',
      file,
      offset: validBytes,
      expected: 'a complete frame, because later segments follow',
      found: `${data.length - validBytes} bytes of an incomplete frame`,
    });
  }
  if (frames.length === 0) await disk.remove(file);
  else await truncateAndSync(disk, file, validBytes);
  return Right(frames);
}

async function truncateAndSync(
  disk: Disk,
  file: string,
  length: number,
): Promise<void> {
  const opened = await disk.open(file);
  await opened.truncate(length);
  await opened.sync();
  await opened[Symbol.asyncDispose]();
}

/** Replays a segment; returns the maximum of the log's last index over its records. */
function replaySegment(
  replay: LogReplay,
  file: string,
  frames: readonly ScannedFrame[],
): Either<StoreError, number> {
  const format = (frames[0].body as LogRecord).head?.format;
  if (format !== formatVersion) {
    return Left({
      kind: 'corrupt',
      file,
      offset: 0,
      expected: `a segment head of format ${formatVersion}`,
      found: format === undefined ? 'none' : `format ${format}`,
    });
  }
  let maxLastIndex = 0;
  for (const {body, offset} of frames) {
    const error = replay.replay(body as LogRecord, {file, offset});
    if (error) return Left(error);
    maxLastIndex = Math.max(maxLastIndex, replay.lastIndex);
  }
  return Right(maxLastIndex);
}

function describeMissingSegment(folder: string, number: number): StoreError {
  return {
    kind: 'corrupt',
    file: join(folder, formatFileName('log', number)),
    offset: 0,
    expected: 'a log segment',
    found: 'no file',
  };
}

function describeMissingSnapshot(
  folder: string,
  index: number,
  snapshot: Snapshot | undefined,
): StoreError {
  return {
    kind: 'corrupt',
    file: join(folder, formatFileName('snapshot', index)),
    offset: 0,
    expected: `a snapshot of index ${index} or later, where the log begins`,
    found: snapshot ? `a snapshot of index ${snapshot.index}` : 'none',
  };
}
