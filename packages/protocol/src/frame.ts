import {type Either, Left, Right} from 'purify-ts';
import {Packr, Unpackr} from 'msgpackr';

/** The largest message that a connection accepts, in bytes. */
export const maxFrameBytes = 64 * 1024 * 1024;

/** Sent first on every connection by both ends: four letters and the version. */
export const preface = Buffer.from('WSBR\0\0\0\x01', 'latin1');

const lengthBytes = 4;
const packr = new Packr({useRecords: false});
const unpackr = new Unpackr({useRecords: false});

/** Encodes one message as a frame: its length in four bytes, big-endian, then MessagePack. */
export function encodeFrame(message: unknown): Buffer {
  const body = packr.pack(message);
  const frame = Buffer.allocUnsafe(lengthBytes + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, lengthBytes);
  return frame;
}

/** Collects bytes from a socket into messages. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);
  private prefaceSeen = false;

  /** Returns the messages completed by a chunk, or why the connection cannot go on. */
  readChunk(chunk: Buffer): Either<string, readonly unknown[]> {
    this.pending =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    if (!this.prefaceSeen) {
      if (this.pending.length < preface.length) return Right([]);
      const start = this.pending.subarray(0, preface.length);
      if (!start.equals(preface)) {
        return Left(
          `expected protocol preface ${preface.toString('hex')}, got ${start.toString('hex')}`,
        );
      }
      this.prefaceSeen = true;
      this.pending = this.pending.subarray(preface.length);
    }
    return this.readFrames();
  }

  private readFrames(): Either<string, readonly unknown[]> {
    const messages: unknown[] = [];
    let pos = 0;
    while (this.pending.length - pos >= lengthBytes) {
      const length = this.pending.readUInt32BE(pos);
      if (length > maxFrameBytes) {
        return Left(`frame of ${length} bytes is over ${maxFrameBytes}`);
      }
      const end = pos + lengthBytes + length;
      if (this.pending.length < end) break;
      try {
        messages.push(
          unpackr.unpack(this.pending.subarray(pos + lengthBytes, end)),
        );
      } catch (error) {
        return Left(`frame is not MessagePack: ${String(error)}`);
      }
      pos = end;
    }
    this.pending = this.pending.subarray(pos);
    return Right(messages);
  }
}
