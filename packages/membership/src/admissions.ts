import {type Epoch, type JobId, assertInvariant} from '#model';

/** What control stores about an admitted job. */
export interface AdmissionRecord {
  readonly job: JobId;
  readonly digest: string;
  readonly epoch: Epoch;
  readonly tasks: number;
  readonly unrepeatable: boolean;
  /** The log index of the admission. */
  readonly revision: number;
  /** The number that the entry gave its admission request, 32 bits. */
  readonly ticket: number;
  /** Wall clock in whole seconds since 1970 after which no task of the job may start; `cancelledSecond` once the job is cancelled. */
  readonly startSecond: number;
  /** Log time in whole seconds from which the record may be removed. */
  readonly expirySecond: number;
}

const idBytes = 16;
const revisionBytes = 6;
/** Layout: job, digest, epoch, tasks with the unrepeatable bit, expiry second, revision, ticket, start second. */
const recordBytes = 2 * idBytes + 3 * 4 + revisionBytes + 2 * 4;
const epochOffset = 2 * idBytes;
const tasksOffset = epochOffset + 4;
const expiryOffset = tasksOffset + 4;
const revisionOffset = expiryOffset + 4;
const ticketOffset = revisionOffset + revisionBytes;
const startOffset = ticketOffset + 4;
const unrepeatableBit = 0x80000000;
const recordsPerChunk = 8192;
const noSlot = -1;
/** The start second of a cancelled job: none of its tasks may start any more. */
export const cancelledSecond = 0;
/** The expiry second of a slot that holds no record. */
const unusedExpiry = 0;
const initialBucketCount = 1024;

/** The largest task count that a record can hold. */
export const maxRecordTasks = unrepeatableBit - 1;

/** The largest ticket that a record can hold. */
export const maxTicket = 2 ** 32 - 1;

/** True for an id or digest that a record can hold: 32 lower-case hex digits. */
export function isRecordId(id: string): boolean {
  return /^[0-9a-f]{32}$/.test(id);
}

interface Chunk {
  readonly records: Buffer;
  /** The next slot of the same hash bucket or, for an unused slot, of the free list. */
  readonly nextInBucket: Int32Array;
  /** The next slot whose record expires in the same second. */
  readonly nextToExpire: Int32Array;
}

/**
 * A hash table of admitted jobs by id, in flat memory: 66 bytes per record and 4 to 8 of hash buckets.
 * Records that expire in the same second form a list, so that the cost of removing expired records
 * depends only on their number.
 */
export class AdmissionTable {
  private readonly chunks: Chunk[] = [];
  private buckets = new Int32Array(initialBucketCount).fill(noSlot);
  private readonly expiryHeads = new Map<number, number>();
  private readonly epochCounts = new Map<Epoch, number>();
  private freeListHead = noSlot;
  private allocatedSlots = 0;
  private count = 0;

  /** `forgottenSecond` is the last second whose records have been removed already. */
  constructor(
    private forgottenSecond = 0,
    private latestExpiry = 0,
  ) {}

  get size(): number {
    return this.count;
  }

  /** Every record that expires in this second or earlier has been removed. */
  get lastForgottenSecond(): number {
    return this.forgottenSecond;
  }

  /** The largest expiry second of all records ever added. */
  get latestExpirySecond(): number {
    return this.latestExpiry;
  }

  /** Finds a job's record; undefined when it was never added or has been removed. */
  find(job: JobId): AdmissionRecord | undefined {
    if (!isRecordId(job)) return undefined;
    const slot = this.findSlot(Buffer.from(job, 'hex'));
    return slot === noSlot ? undefined : this.readSlot(slot);
  }

  /** Adds a record, whose job must not be in the table. Throws unless job and digest are record ids. */
  add(record: AdmissionRecord): void {
    assertInvariant(
      isRecordId(record.job) && isRecordId(record.digest),
      `job "${record.job}" or digest "${record.digest}" is not 32 hex digits`,
    );
    const slot = this.takeSlot();
    const {records} = this.getChunk(slot);
    const pos = (slot % recordsPerChunk) * recordBytes;
    records.write(record.job, pos, 'hex');
    records.write(record.digest, pos + idBytes, 'hex');
    records.writeUInt32LE(record.epoch, pos + epochOffset);
    records.writeUInt32LE(
      record.tasks + (record.unrepeatable ? unrepeatableBit : 0),
      pos + tasksOffset,
    );
    const second = Math.max(record.expirySecond, this.forgottenSecond + 1);
    records.writeUInt32LE(second, pos + expiryOffset);
    records.writeUIntLE(record.revision, pos + revisionOffset, revisionBytes);
    records.writeUInt32LE(record.ticket, pos + ticketOffset);
    records.writeUInt32LE(record.startSecond, pos + startOffset);
    this.linkRecord(slot);
  }

  /** Marks a job as cancelled; no effect when it has no record. */
  cancel(job: JobId): void {
    const slot = isRecordId(job)
      ? this.findSlot(Buffer.from(job, 'hex'))
      : noSlot;
    if (slot === noSlot) return;
    const pos = (slot % recordsPerChunk) * recordBytes;
    const {records} = this.getChunk(slot);
    records.writeUInt32LE(cancelledSecond, pos + startOffset);
  }

  /**
   * Removes the records that expire in `untilSecond` or earlier, whole seconds at a time,
   * and stops after the second in which `limit` was reached. Returns how many it removed.
   */
  forgetExpired(untilSecond: number, limit: number): number {
    if (this.count === 0) {
      this.forgottenSecond = Math.max(this.forgottenSecond, untilSecond);
      return 0;
    }
    let forgotten = 0;
    while (this.forgottenSecond < untilSecond && forgotten < limit) {
      this.forgottenSecond++;
      forgotten += this.forgetSecond(this.forgottenSecond);
    }
    return forgotten;
  }

  /** Returns the number of records of an epoch. */
  countByEpoch(epoch: Epoch): number {
    return this.epochCounts.get(epoch) ?? 0;
  }

  /** Lists all records in no particular order. */
  *list(): Generator<AdmissionRecord> {
    for (const head of this.expiryHeads.values()) {
      for (
        let slot = head;
        slot !== noSlot;
        slot = this.getNextToExpire(slot)
      ) {
        yield this.readSlot(slot);
      }
    }
  }

  /** Lists the records of the given epochs. */
  listByEpochs(epochs: ReadonlySet<Epoch>): readonly AdmissionRecord[] {
    let total = 0;
    for (const epoch of epochs) total += this.countByEpoch(epoch);
    const found: AdmissionRecord[] = [];
    for (const head of this.expiryHeads.values()) {
      if (found.length === total) break;
      for (
        let slot = head;
        slot !== noSlot;
        slot = this.getNextToExpire(slot)
      ) {
        if (epochs.has(this.readEpoch(slot))) found.push(this.readSlot(slot));
      }
    }
    return found;
  }

  /** Encodes all records, `recordBytes` each. */
  encode(): Buffer {
    const bytes = Buffer.allocUnsafe(this.count * recordBytes);
    let end = 0;
    for (const [first, last] of this.listUsedRanges()) {
      const {records} = this.getChunk(first);
      const pos = (first % recordsPerChunk) * recordBytes;
      const rangeBytes = (last - first) * recordBytes;
      records.copy(bytes, end, pos, pos + rangeBytes);
      end += rangeBytes;
    }
    return bytes;
  }

  /** Rebuilds a table from the bytes that `encode` returned. */
  static decode(
    bytes: Buffer,
    forgottenSecond: number,
    latestExpirySecond: number,
  ): AdmissionTable {
    assertInvariant(
      bytes.length % recordBytes === 0,
      `admission table has ${bytes.length} bytes, expected a multiple of ${recordBytes}`,
    );
    const table = new AdmissionTable(forgottenSecond, latestExpirySecond);
    for (let pos = 0; pos < bytes.length; pos += recordBytes) {
      const slot = table.takeSlot();
      const {records} = table.getChunk(slot);
      const at = (slot % recordsPerChunk) * recordBytes;
      bytes.copy(records, at, pos, pos + recordBytes);
      table.linkRecord(slot);
    }
    return table;
  }

  /** Lists the ranges of adjacent used slots, each within one chunk. */
  private *listUsedRanges(): Generator<readonly [first: number, end: number]> {
    let first = noSlot;
    for (let slot = 0; slot <= this.allocatedSlots; slot++) {
      const inUse =
        slot < this.allocatedSlots && this.readExpiry(slot) !== unusedExpiry;
      const ends = !inUse || slot % recordsPerChunk === 0;
      if (first !== noSlot && ends) {
        yield [first, slot];
        first = noSlot;
      }
      if (inUse && first === noSlot) first = slot;
    }
  }

  /** Adds the record that was written to a slot to the index, the expiry list and the counts. */
  private linkRecord(slot: number): void {
    if (this.count >= this.buckets.length) this.growBuckets();
    const {records, nextInBucket, nextToExpire} = this.getChunk(slot);
    const at = slot % recordsPerChunk;
    const bucket = this.hash(records, at * recordBytes);
    nextInBucket[at] = this.buckets[bucket];
    this.buckets[bucket] = slot;
    const second = this.readExpiry(slot);
    nextToExpire[at] = this.expiryHeads.get(second) ?? noSlot;
    this.expiryHeads.set(second, slot);
    this.latestExpiry = Math.max(this.latestExpiry, second);
    const epoch = this.readEpoch(slot);
    this.epochCounts.set(epoch, this.countByEpoch(epoch) + 1);
    this.count++;
  }

  private forgetSecond(second: number): number {
    let slot = this.expiryHeads.get(second) ?? noSlot;
    this.expiryHeads.delete(second);
    let forgotten = 0;
    while (slot !== noSlot) {
      const next = this.getNextToExpire(slot);
      this.removeSlot(slot);
      slot = next;
      forgotten++;
    }
    return forgotten;
  }

  private removeSlot(slot: number): void {
    const chunk = this.getChunk(slot);
    const at = slot % recordsPerChunk;
    const epoch = this.readEpoch(slot);
    const bucket = this.hash(chunk.records, at * recordBytes);
    this.removeFromBucket(bucket, slot);
    chunk.records.writeUInt32LE(unusedExpiry, at * recordBytes + expiryOffset);
    chunk.nextInBucket[at] = this.freeListHead;
    this.freeListHead = slot;
    const remaining = this.countByEpoch(epoch) - 1;
    if (remaining === 0) this.epochCounts.delete(epoch);
    else this.epochCounts.set(epoch, remaining);
    this.count--;
  }

  private removeFromBucket(bucket: number, slot: number): void {
    const next = this.getNextInBucket(slot);
    if (this.buckets[bucket] === slot) {
      this.buckets[bucket] = next;
      return;
    }
    let before = this.buckets[bucket];
    while (this.getNextInBucket(before) !== slot) {
      before = this.getNextInBucket(before);
    }
    this.getChunk(before).nextInBucket[before % recordsPerChunk] = next;
  }

  private findSlot(job: Buffer): number {
    let slot = this.buckets[this.hash(job, 0)];
    while (slot !== noSlot) {
      const pos = (slot % recordsPerChunk) * recordBytes;
      const {records} = this.getChunk(slot);
      if (records.compare(job, 0, idBytes, pos, pos + idBytes) === 0) break;
      slot = this.getNextInBucket(slot);
    }
    return slot;
  }

  private takeSlot(): number {
    if (this.freeListHead !== noSlot) {
      const slot = this.freeListHead;
      this.freeListHead = this.getNextInBucket(slot);
      return slot;
    }
    if (this.allocatedSlots === this.chunks.length * recordsPerChunk) {
      this.chunks.push({
        records: Buffer.alloc(recordsPerChunk * recordBytes),
        nextInBucket: new Int32Array(recordsPerChunk),
        nextToExpire: new Int32Array(recordsPerChunk),
      });
    }
    return this.allocatedSlots++;
  }

  private growBuckets(): void {
    this.buckets = new Int32Array(this.buckets.length * 2).fill(noSlot);
    for (const head of this.expiryHeads.values()) {
      for (
        let slot = head;
        slot !== noSlot;
        slot = this.getNextToExpire(slot)
      ) {
        const chunk = this.getChunk(slot);
        const at = slot % recordsPerChunk;
        const bucket = this.hash(chunk.records, at * recordBytes);
        chunk.nextInBucket[at] = this.buckets[bucket];
        this.buckets[bucket] = slot;
      }
    }
  }

  /** Job ids are digests, so their first bytes are uniformly distributed. */
  private hash(bytes: Buffer, pos: number): number {
    return bytes.readUInt32LE(pos) & (this.buckets.length - 1);
  }

  private getChunk(slot: number): Chunk {
    return this.chunks[Math.floor(slot / recordsPerChunk)];
  }

  private getNextInBucket(slot: number): number {
    return this.getChunk(slot).nextInBucket[slot % recordsPerChunk];
  }

  private getNextToExpire(slot: number): number {
    return this.getChunk(slot).nextToExpire[slot % recordsPerChunk];
  }

  private readExpiry(slot: number): number {
    const pos = (slot % recordsPerChunk) * recordBytes;
    return this.getChunk(slot).records.readUInt32LE(pos + expiryOffset);
  }

  private readEpoch(slot: number): Epoch {
    const pos = (slot % recordsPerChunk) * recordBytes;
    return this.getChunk(slot).records.readUInt32LE(pos + epochOffset);
  }

  private readSlot(slot: number): AdmissionRecord {
    const pos = (slot % recordsPerChunk) * recordBytes;
    return readRecord(this.getChunk(slot).records, pos);
  }
}

function readRecord(bytes: Buffer, pos: number): AdmissionRecord {
  const tasks = bytes.readUInt32LE(pos + tasksOffset);
  return {
    job: bytes.toString('hex', pos, pos + idBytes),
    digest: bytes.toString('hex', pos + idBytes, pos + 2 * idBytes),
    epoch: bytes.readUInt32LE(pos + epochOffset),
    tasks: tasks % unrepeatableBit,
    unrepeatable: tasks >= unrepeatableBit,
    revision: bytes.readUIntLE(pos + revisionOffset, revisionBytes),
    ticket: bytes.readUInt32LE(pos + ticketOffset),
    startSecond: bytes.readUInt32LE(pos + startOffset),
    expirySecond: bytes.readUInt32LE(pos + expiryOffset),
  };
}
