import {join} from 'node:path';
import {type Either, Left, Right} from 'purify-ts';
import type {ControlId} from '#model';
import {
  createFirstEntry,
  type HardState,
  type LogEntry,
  type Members,
  type RecoveredState,
  type Snapshot,
} from '#consensus';
import {type Disk, type DiskFile, nodeDisk} from './disk.js';
import {toStoreError, type StoreError} from './error.js';
import {encodeFrame} from './frame.js';
import {
  listFileNumbers,
  formatVersion,
  type LogRecord,
  formatFileName,
  encodeEntry,
  encodeSnapshot,
  type LogPosition,
  temporarySuffix,
} from './record.js';
import {recoverFolder, type SegmentInfo} from './recovery.js';

export interface StoreOptions {
  readonly id: ControlId;
  /** The voters of a new group; ignored unless the folder is new. */
  readonly bootstrap?: Members;
  readonly disk?: Disk;
}

/** A write. Its entries replace the stored ones from the index of its first entry on. */
export interface StoreWrite {
  readonly hardState?: HardState;
  readonly entries: readonly LogEntry[];
}

type Outcome = Either<StoreError, void>;

/** Whether the log keeps its entries after the snapshot's index (`continue`) or drops them too (`replace`). */
export type SnapshotLogMode = 'continue' | 'replace';

type Operation =
  | {
      readonly kind: 'append';
      readonly write: StoreWrite;
      readonly settle: (outcome: Outcome) => void;
    }
  | {
      readonly kind: 'snapshot';
      readonly snapshot: Snapshot;
      readonly log: SnapshotLogMode;
      readonly temporary: Promise<Outcome>;
      readonly settle: (outcome: Outcome) => void;
    };

const maxSegmentBytes = 64 * 1024 * 1024;

/**
 * A replica's log, snapshot and hard state in one folder. Writes take effect in
 * order; appends that wait during a sync share the next one.
 */
export class Store implements AsyncDisposable {
  private queue: Operation[] = [];
  private running: Promise<void> | undefined;
  private failure: StoreError | undefined;
  private segment: DiskFile | undefined;
  private position = 0;
  private hardState: HardState;
  private lastPosition: LogPosition;
  /** The maximum of the log's last index since the open segment began. */
  private highestIndex = 0;

  private constructor(
    private readonly disk: Disk,
    private readonly folder: string,
    private readonly lock: AsyncDisposable,
    private readonly id: ControlId,
    private recoveredState: RecoveredState,
    private segments: readonly SegmentInfo[],
  ) {
    const {snapshot, entries, hardState} = recoveredState;
    const lastEntry = entries.at(-1) ?? snapshot;
    this.hardState = hardState;
    this.lastPosition = [lastEntry?.index ?? 0, lastEntry?.term ?? 0];
  }

  /** The state that the folder held when it was opened; without its log once that is forgotten. */
  get recovered(): RecoveredState {
    return this.recoveredState;
  }

  /** Releases the memory of the recovered snapshot and entries. */
  forgetRecovered(): void {
    const {hardState} = this.recoveredState;
    this.recoveredState = {hardState, entries: []};
  }

  /** Locks a folder, recovers its state and begins a new segment for writes. */
  static async open(
    folder: string,
    options: StoreOptions,
  ): Promise<Either<StoreError, Store>> {
    const {disk = nodeDisk} = options;
    let lock: AsyncDisposable | undefined;
    try {
      await disk.createFolder(folder);
      const locked = await disk.lock(folder);
      if (locked.isLeft()) return locked as Either<StoreError, never>;
      lock = locked.unsafeCoerce();
      const opened = await Store.recover(disk, folder, lock, options);
      if (opened.isLeft()) await lock[Symbol.asyncDispose]();
      return opened;
    } catch (error) {
      await lock?.[Symbol.asyncDispose]();
      return Left(toStoreError(folder, error));
    }
  }

  private static async recover(
    disk: Disk,
    folder: string,
    lock: AsyncDisposable,
    {id, bootstrap}: StoreOptions,
  ): Promise<Either<StoreError, Store>> {
    const recovery = await recoverFolder(disk, folder);
    if (recovery.isLeft()) return recovery as Either<StoreError, never>;
    const recovered = recovery.unsafeCoerce();
    if (recovered.id !== undefined && recovered.id !== id) {
      return Left({
        kind: 'wrong-identity',
        file: folder,
        expected: id,
        found: recovered.id,
      });
    }
    const isNew = recovered.id === undefined;
    const state =
      isNew && bootstrap
        ? {...recovered.state, entries: [createFirstEntry(bootstrap)]}
        : recovered.state;
    const store = new Store(disk, folder, lock, id, state, recovered.segments);
    try {
      await store.beginSegment(isNew ? state.entries : []);
    } catch (error) {
      await store.segment?.[Symbol.asyncDispose]();
      throw error;
    }
    return Right(store);
  }

  /** Resolves once the write and all earlier ones are synced. */
  append(write: StoreWrite): Promise<Outcome> {
    return new Promise(settle => this.enqueue({kind: 'append', write, settle}));
  }

  /** Saves a snapshot and drops the entries that it includes. Resolves once synced. */
  saveSnapshot(snapshot: Snapshot, log: SnapshotLogMode): Promise<Outcome> {
    const temporary = this.writeTemporarySnapshot(snapshot);
    return new Promise(settle =>
      this.enqueue({kind: 'snapshot', snapshot, log, temporary, settle}),
    );
  }

  /** Finishes the pending writes, then unlocks the folder. */
  async [Symbol.asyncDispose](): Promise<void> {
    while (this.running) await this.running;
    this.failure ??= {kind: 'closed'};
    await this.segment?.[Symbol.asyncDispose]();
    this.segment = undefined;
    await this.lock[Symbol.asyncDispose]();
  }

  private enqueue(operation: Operation): void {
    if (this.failure) {
      operation.settle(Left(this.failure));
      return;
    }
    this.queue.push(operation);
    this.running ??= this.run();
  }

  private async run(): Promise<void> {
    while (this.queue.length > 0) {
      const batch = this.takeBatch();
      const outcome = await this.execute(batch);
      for (const {settle} of batch) settle(outcome);
    }
    this.running = undefined;
  }

  /** Takes the first operation and, if it is an append, all appends directly after it. */
  private takeBatch(): readonly Operation[] {
    const firstOther = this.queue.findIndex(({kind}) => kind !== 'append');
    const count = firstOther < 0 ? this.queue.length : Math.max(1, firstOther);
    return this.queue.splice(0, count);
  }

  private async execute(batch: readonly Operation[]): Promise<Outcome> {
    if (this.failure) return Left(this.failure);
    const [first] = batch;
    try {
      if (first.kind === 'append') {
        await this.writeBatch(batch);
        return Right(undefined);
      }
      const temporary = await first.temporary;
      if (temporary.isRight()) await this.commitSnapshot(first);
      else this.failure = temporary.extract() as StoreError;
      return temporary;
    } catch (error) {
      // After a failed sync the operating system may have dropped the data, and a later successful sync doesn't show that it was written.
      this.failure = toStoreError(this.folder, error);
      return Left(this.failure);
    }
  }

  private async writeBatch(batch: readonly Operation[]): Promise<void> {
    const writes = batch.flatMap(operation =>
      operation.kind === 'append' ? [operation.write] : [],
    );
    const entries = writes.flatMap(write => write.entries);
    const hardState = writes.findLast(write => write.hardState)?.hardState;
    const lastEntry = entries.at(-1);
    if (hardState) this.hardState = hardState;
    if (lastEntry) this.updateLastPosition(lastEntry);
    await this.writeRecord({
      ...(hardState && {hardState}),
      ...(lastEntry && {entries: entries.map(encodeEntry)}),
    });
    if (this.position >= maxSegmentBytes) await this.beginSegment([]);
  }

  private updateLastPosition({index, term}: LogEntry): void {
    this.lastPosition = [index, term];
    this.highestIndex = Math.max(this.highestIndex, index);
  }

  private async writeRecord(record: LogRecord): Promise<void> {
    const frame = encodeFrame(record);
    await this.segment!.write(frame, this.position);
    await this.segment!.sync();
    this.position += frame.length;
  }

  /** Begins a segment after the last one; its header repeats the state that is still needed when the earlier segments are removed. */
  private async beginSegment(entries: readonly LogEntry[]): Promise<void> {
    const number = (this.segments.at(-1)?.number ?? 0) + 1;
    const base: LogPosition = entries.length > 0 ? [0, 0] : this.lastPosition;
    const {id, hardState} = this;
    const previousSegment = this.segment;
    this.segment = await this.disk.open(
      join(this.folder, formatFileName('log', number)),
    );
    this.position = 0;
    await this.segment.truncate(0);
    await this.writeRecord({
      head: {format: formatVersion, id, hardState, base},
      entries: entries.map(encodeEntry),
    });
    await this.disk.syncFolder(this.folder);
    await previousSegment?.[Symbol.asyncDispose]();
    this.recordLastSegmentEnd();
    this.segments = [...this.segments, {number, maxLastIndex: Infinity}];
    this.highestIndex = this.lastPosition[0];
  }

  /** Records the last index of the segment that was open until now. */
  private recordLastSegmentEnd(): void {
    const open = this.segments.at(-1);
    if (open?.maxLastIndex !== Infinity) return;
    const closed = {number: open.number, maxLastIndex: this.highestIndex};
    this.segments = [...this.segments.slice(0, -1), closed];
  }

  private async writeTemporarySnapshot(snapshot: Snapshot): Promise<Outcome> {
    const file = this.formatSnapshotPath(snapshot) + temporarySuffix;
    try {
      await using opened = await this.disk.open(file);
      await opened.truncate(0);
      await opened.write(encodeFrame(encodeSnapshot(snapshot)), 0);
      await opened.sync();
      return Right(undefined);
    } catch (error) {
      return Left(toStoreError(file, error));
    }
  }

  private formatSnapshotPath({index}: Snapshot): string {
    return join(this.folder, formatFileName('snapshot', index));
  }

  private async commitSnapshot({
    snapshot,
    log,
  }: Extract<Operation, {kind: 'snapshot'}>): Promise<void> {
    const file = this.formatSnapshotPath(snapshot);
    await this.disk.move(file + temporarySuffix, file);
    await this.disk.syncFolder(this.folder);
    if (log === 'replace') this.lastPosition = [snapshot.index, snapshot.term];
    await this.beginSegment([]);
    await this.removeObsoleteFiles(snapshot.index);
  }

  /** Removes older snapshots, and segments whose entries the snapshot includes. */
  private async removeObsoleteFiles(index: number): Promise<void> {
    const names = await this.disk.list(this.folder);
    for (const number of listFileNumbers(names, 'snapshot')) {
      if (number >= index) continue;
      await this.disk.remove(
        join(this.folder, formatFileName('snapshot', number)),
      );
    }
    const firstKept = this.segments.findIndex(
      segment => segment.maxLastIndex > index,
    );
    for (const {number} of this.segments.slice(0, firstKept)) {
      await this.disk.remove(join(this.folder, formatFileName('log', number)));
    }
    this.segments = this.segments.slice(firstKept);
  }
}
