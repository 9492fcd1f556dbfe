import {type Either, Left, Right} from 'purify-ts';
import {Packr, Unpackr} from 'msgpackr';

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

/** Decodes a byte stream into messages. The chunks of a frame are concatenated only once. */
export class FrameReader {
  private readonly pendingChunks: Buffer[] = [];
  private pendingBytes = 0;
  /** Pending bytes needed to decode the preface or the next frame. */
  private neededBytes = preface.length;
  private hasReadPreface = false;

  /**
   * Returns the messages completed by a chunk, or a protocol error that is
   * fatal to the connection. Copies the bytes it retains, so that the caller
   * may overwrite the chunk afterwards.
   */
  readChunk(chunk: Buffer): Either<string, readonly unknown[]> {
    this.pendingBytes += chunk.length;
    if (this.pendingBytes < this.neededBytes) {
      this.pendingChunks.push(Buffer.from(chunk));
      return Right([]);
    }
    const bytes =
      this.pendingChunks.length === 0
        ? chunk
        : Buffer.concat([...this.pendingChunks, chunk]);
    this.pendingChunks.length = 0;
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
    this.pendingBytes = bytes.length - pos;
    if (this.pendingBytes > 0)
      this.pendingChunks.push(Buffer.from(bytes.subarray(pos)));
    return Right(messages);
  }
}
