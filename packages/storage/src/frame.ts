import {crc32} from 'node:zlib';
import {Packr} from 'msgpackr';
import {type Either, Left, Right} from 'purify-ts';
import type {StoreError} from './error.js';

/** Body length, CRC-32 of the body, CRC-32 of both; each 4 bytes, big-endian. */
const headerBytes = 12;
/** A disk writes a sector atomically. */
const sectorBytes = 512;

const packr = new Packr({useRecords: false});

/** A frame's body and the offset of the next frame. */
interface DecodedFrame {
  readonly body: unknown;
  readonly end: number;
}

/** A frame's body and the frame's first byte in the file. */
export interface ScannedFrame {
  readonly body: unknown;
  readonly offset: number;
}

/** A file's frames and the length in bytes that they take up. */
export interface ScannedFile {
  readonly frames: readonly ScannedFrame[];
  readonly validBytes: number;
}

/** Encodes a body as a frame. */
export function encodeFrame(body: unknown): Buffer {
  const packed = packr.pack(body);
  const frame = Buffer.allocUnsafe(headerBytes + packed.length);
  frame.writeUInt32BE(packed.length, 0);
  frame.writeUInt32BE(crc32(packed), 4);
  frame.writeUInt32BE(crc32(frame.subarray(0, 8)), 8);
  packed.copy(frame, headerBytes);
  return frame;
}

/**
 * Reads the frames of a file. Each frame is synced before the next one is
 * written, so a crash can tear only the last one: it is cut short, or a sector
 * that was never written reads as zeros. A torn frame was never acknowledged and
 * ends the scan. Any other checksum mismatch is corruption.
 */
export function readFrames(
  file: string,
  data: Buffer,
): Either<StoreError, ScannedFile> {
  const frames: ScannedFrame[] = [];
  let pos = 0;
  while (pos < data.length) {
    const frame = readFrame(data, pos);
    if (!frame) {
      const expected = describeCorruption(data, pos);
      if (!expected) return Right({frames, validBytes: pos});
      const found = `${data.length - pos} bytes that do not match`;
      return Left({kind: 'corrupt', file, offset: pos, expected, found});
    }
    frames.push({body: frame.body, offset: pos});
    pos = frame.end;
  }
  return Right({frames, validBytes: pos});
}

function readFrame(data: Buffer, pos: number): DecodedFrame | undefined {
  if (!hasValidHeader(data, pos)) return undefined;
  const start = pos + headerBytes;
  const end = start + data.readUInt32BE(pos);
  if (end > data.length) return undefined;
  const packed = data.subarray(start, end);
  if (crc32(packed) !== data.readUInt32BE(pos + 4)) return undefined;
  return {body: packr.unpack(packed), end};
}

function hasValidHeader(data: Buffer, pos: number): boolean {
  if (pos + headerBytes > data.length) return false;
  const checksum = data.readUInt32BE(pos + 8);
  return crc32(data.subarray(pos, pos + 8)) === checksum;
}

/** Describes what was expected at an invalid frame; undefined when the frame is torn. */
function describeCorruption(data: Buffer, pos: number): string | undefined {
  if (pos + headerBytes > data.length) return undefined;
  if (!hasValidHeader(data, pos)) {
    const torn =
      hasUnwrittenSector(data, pos, pos + headerBytes) &&
      !hasFrameAfter(data, pos);
    return torn ? undefined : 'a frame header with a matching checksum';
  }
  const end = pos + headerBytes + data.readUInt32BE(pos);
  if (end > data.length) return undefined;
  const isLast = end === data.length;
  return isLast && hasUnwrittenSector(data, pos, end)
    ? undefined
    : `a frame that ends at byte ${end} with a matching checksum`;
}

function nextSector(pos: number): number {
  return (Math.floor(pos / sectorBytes) + 1) * sectorBytes;
}

/** Whether any sector that the range overlaps is all zeros; bytes before the range are ignored. */
function hasUnwrittenSector(data: Buffer, from: number, end: number): boolean {
  for (let pos = from; pos < end; pos = nextSector(pos)) {
    if (isZero(data, pos, Math.min(data.length, nextSector(pos)))) return true;
  }
  return false;
}

function hasFrameAfter(data: Buffer, pos: number): boolean {
  for (let at = pos + 1; at + headerBytes <= data.length; at++) {
    if (readFrame(data, at)) return true;
  }
  return false;
}

function isZero(data: Buffer, from: number, end: number): boolean {
  for (let pos = from; pos < end; pos++) if (data[pos] !== 0) return false;
  return true;
}
