import {type Either, Left, Right} from 'purify-ts';
import {Packr, Unpackr} from 'msgpackr';
import {BlockBuffer} from '#intake';

/** The largest message that a connection accepts, in bytes. */
export const maxFrameBytes = 64 * 1024 * 1024;

/** Sent first on every connection by both ends: four magic bytes and the protocol version. */
export const preface = Buffer.from('WSBR\0\0\0\x01', 'latin1');

const lengthBytes = 4;
const packr = new Packr({useRecords: false});
const unpackr = new Unpackr({useRecords: false, copyBuffers: true});

/** Encodes a message as a frame: a four-byte big-endian length, then MessagePack. */
export function encodeFrame(message: unknown): Buffer {
  const body = packr.pack(message);
  const frame = Buffer.allocUnsafe(lengthBytes + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, lengthBytes);
  return frame;
}

/** Holds the bytes of a frame until it is complete. */
export interface PendingBytes {
  readonly length: number;
  /** Appends a copy of a chunk. */
  readonly append: (chunk: Buffer) => void;
  readonly take: () => Buffer;
  readonly drop: () => void;
}

/** Decodes a byte stream into messages. */
export class FrameReader {
  private pending: PendingBytes | undefined;
  /** Pending bytes needed to decode the preface or the next frame. */
  private neededBytes = preface.length;
  private hasReadPreface = false;

  constructor(
    private readonly openPending: () => PendingBytes = () => new BlockBuffer(),
  ) {}

  /**
   * Returns the messages completed by a chunk, or a protocol error that is
   * fatal to the connection. Copies the bytes it retains, so that the caller
   * may overwrite the chunk afterwards.
   */
  readChunk(chunk: Buffer): Either<string, readonly unknown[]> {
    if ((this.pending?.length ?? 0) + chunk.length < this.neededBytes) {
      this.hold(chunk);
      return Right([]);
    }
    const bytes = this.joinPending(chunk);
    if (this.hasReadPreface) return this.readFrames(bytes, 0);
    const start = bytes.subarray(0, preface.length);
    if (!start.equals(preface)) {
      return Left(
        `expected protocol preface ${preface.toString('hex')}, got ${start.toString('hex')}`,
      );
    }
    this.hasReadPreface = true;
    return this.readFrames(bytes, preface.length);
  }

  /** Drops the bytes of an incomplete frame. */
  clear(): void {
    this.pending?.drop();
    this.pending = undefined;
  }

  private hold(chunk: Buffer): void {
    this.pending ??= this.openPending();
    this.pending.append(chunk);
  }

  /** Returns the pending bytes and those of a chunk. */
  private joinPending(chunk: Buffer): Buffer {
    if (this.pending === undefined) return chunk;
    const held = this.pending.take();
    this.pending = undefined;
    return Buffer.concat([held, chunk]);
  }

  private readFrames(
    bytes: Buffer,
    start: number,
  ): Either<string, readonly unknown[]> {
    const messages: unknown[] = [];
    let pos = start;
    this.neededBytes = lengthBytes;
    while (bytes.length - pos >= lengthBytes) {
      const length = bytes.readUInt32BE(pos);
      if (length > maxFrameBytes) {
        return Left(`frame of ${length} bytes is over ${maxFrameBytes}`);
      }
      const end = pos + lengthBytes + length;
      if (bytes.length < end) {
        this.neededBytes = lengthBytes + length;
        break;
      }
      try {
        messages.push(unpackr.unpack(bytes.subarray(pos + lengthBytes, end)));
      } catch (error) {
        return Left(`frame is not MessagePack: ${String(error)}`);
      }
      pos = end;
    }
    if (pos < bytes.length) this.hold(bytes.subarray(pos));
    return Right(messages);
  }
}
