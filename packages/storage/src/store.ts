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
import {describeFailure, type StoreError} from './error.js';
import {encodeFrame} from './frame.js';
import {
  findNumbers,
  formatVersion,
  type LogRecord,
  nameFile,
  packEntry,
  packSnapshot,
  type StoredPlace,
  temporarySuffix,
} from './record.js';
import {recoverFolder, type SegmentInfo} from './recovery.js';

export interface StoreOptions {
  readonly id: ControlId;
  /** The voters of a new group; ignored unless the folder is new. */
  readonly bootstrap?: Members;
  readonly disk?: Disk;
}

/** What to write; entries replace those stored from the first one's index on. */
export interface StoreWrite {
  readonly hardState?: HardState;
  readonly entries: readonly LogEntry[];
}

type Outcome = Either<StoreError, void>;

/** What a snapshot does to the log: it continues with the entries after it, or begins anew. */
export type SnapshotLog = 'continue' | 'replace';

type Operation =
  | {
      readonly kind: 'append';
      readonly write: StoreWrite;
      readonly settle: (outcome: Outcome) => void;
    }
  | {
      readonly kind: 'snapshot';
      readonly snapshot: Snapshot;
      readonly log: SnapshotLog;
      readonly temporary: Promise<Outcome>;
      readonly settle: (outcome: Outcome) => void;
    };

const maxSegmentBytes = 64 * 1024 * 1024;

/**
 * A replica's log, snapshot and hard state in one folder. Writes take effect in
 * the order made; all that wait while a sync runs are covered by the next one.
 */
export class Store implements AsyncDisposable {
  private queue: Operation[] = [];
  private running: Promise<void> | undefined;
  private failure: StoreError | undefined;
  private segment: DiskFile | undefined;
  private position = 0;
  private hardState: HardState;
  private last: StoredPlace;
  /** The highest index that the open segment names. */
  private highestIndex = 0;

  private constructor(
    private readonly disk: Disk,
    private readonly folder: string,
    private readonly lock: AsyncDisposable,
    private readonly id: ControlId,
    /** What the folder held when it was opened. */
    readonly recovered: RecoveredState,
    private segments: readonly SegmentInfo[],
  ) {
    const {snapshot, entries, hardState} = recovered;
    const lastEntry = entries.at(-1) ?? snapshot;
    this.hardState = hardState;
    this.last = [lastEntry?.index ?? 0, lastEntry?.term ?? 0];
  }

  /** Claims a folder, recovers what it holds and makes it ready for writes. */
  static async open(
    folder: string,
    options: StoreOptions,
  ): Promise<Either<StoreError, Store>> {
    const {disk = nodeDisk} = options;
    try {
      await disk.createFolder(folder);
      const lock = await disk.lock(folder);
      if (lock.isLeft()) return lock as Either<StoreError, never>;
      const opened = await Store.recover(
        disk,
        folder,
        lock.unsafeCoerce(),
        options,
      );
      if (opened.isLeft()) await lock.unsafeCoerce()[Symbol.asyncDispose]();
      return opened;
    } catch (error) {
      return Left(describeFailure(folder, error));
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
    const found = recovery.unsafeCoerce();
    if (found.id !== undefined && found.id !== id) {
      return Left({
        kind: 'wrong-identity',
        file: folder,
        expected: id,
        found: found.id,
      });
    }
    const isNew = found.id === undefined;
    const state =
      isNew && bootstrap
        ? {...found.state, entries: [createFirstEntry(bootstrap)]}
        : found.state;
    const store = new Store(disk, folder, lock, id, state, found.segments);
    await store.beginSegment(isNew ? state.entries : []);
    return Right(store);
  }

  /** Writes; resolves once the write and all before it are synced. */
  append(write: StoreWrite): Promise<Outcome> {
    return new Promise(settle => this.enqueue({kind: 'append', write, settle}));
  }

  /** Saves a snapshot and drops the entries that it stands for. Resolves once synced. */
  saveSnapshot(snapshot: Snapshot, log: SnapshotLog): Promise<Outcome> {
    const temporary = this.writeTemporary(snapshot);
    return new Promise(settle =>
      this.enqueue({kind: 'snapshot', snapshot, log, temporary, settle}),
    );
  }

  /** Finishes the writes made, then lets go of the folder. */
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

  /** Takes the first operation, and where it is an append all appends right after it. */
  private takeBatch(): readonly Operation[] {
    const other = this.queue.findIndex(({kind}) => kind !== 'append');
    const count = other < 0 ? this.queue.length : Math.max(1, other);
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
      // After a failed sync the system may have dropped the data: no later sync vouches for it.
      this.failure = describeFailure(this.folder, error);
      return Left(this.failure);
    }
  }

  private async writeBatch(batch: readonly Operation[]): Promise<void> {
    const writes = batch.flatMap(one =>
      one.kind === 'append' ? [one.write] : [],
    );
    const entries = writes.flatMap(write => write.entries);
    const hardState = writes.findLast(write => write.hardState)?.hardState;
    const lastEntry = entries.at(-1);
    if (hardState) this.hardState = hardState;
    if (lastEntry) this.trackLast(lastEntry);
    await this.writeRecord({
      ...(hardState && {hardState}),
      ...(lastEntry && {entries: entries.map(packEntry)}),
    });
    if (this.position >= maxSegmentBytes) await this.beginSegment([]);
  }

  private trackLast({index, term}: LogEntry): void {
    this.last = [index, term];
    this.highestIndex = Math.max(this.highestIndex, index);
  }

  private async writeRecord(record: LogRecord): Promise<void> {
    const frame = encodeFrame(record);
    await this.segment!.write(frame, this.position);
    await this.segment!.sync();
    this.position += frame.length;
  }

  /** Begins a segment after the last one; its head repeats all that must survive without the others. */
  private async beginSegment(entries: readonly LogEntry[]): Promise<void> {
    const number = (this.segments.at(-1)?.number ?? 0) + 1;
    const base: StoredPlace = entries.length > 0 ? [0, 0] : this.last;
    const {id, hardState} = this;
    const before = this.segment;
    this.segment = await this.disk.open(
      join(this.folder, nameFile('log', number)),
    );
    this.position = 0;
    await this.segment.truncate(0);
    await this.writeRecord({
      head: {format: formatVersion, id, hardState, base},
      entries: entries.map(packEntry),
    });
    await this.disk.syncFolder(this.folder);
    await before?.[Symbol.asyncDispose]();
    this.closeLastSegment();
    this.segments = [...this.segments, {number, lastIndex: Infinity}];
    this.highestIndex = this.last[0];
  }

  /** Takes note of the last index of the segment that is written no more. */
  private closeLastSegment(): void {
    const open = this.segments.at(-1);
    if (open?.lastIndex !== Infinity) return;
    const closed = {number: open.number, lastIndex: this.highestIndex};
    this.segments = [...this.segments.slice(0, -1), closed];
  }

  private async writeTemporary(snapshot: Snapshot): Promise<Outcome> {
    const file = this.nameSnapshot(snapshot) + temporarySuffix;
    try {
      await using opened = await this.disk.open(file);
      await opened.truncate(0);
      await opened.write(encodeFrame(packSnapshot(snapshot)), 0);
      await opened.sync();
      return Right(undefined);
    } catch (error) {
      return Left(describeFailure(file, error));
    }
  }

  private nameSnapshot({index}: Snapshot): string {
    return join(this.folder, nameFile('snapshot', index));
  }

  private async commitSnapshot({
    snapshot,
    log,
  }: Extract<Operation, {kind: 'snapshot'}>): Promise<void> {
    const file = this.nameSnapshot(snapshot);
    await this.disk.move(file + temporarySuffix, file);
    await this.disk.syncFolder(this.folder);
    if (log === 'replace') this.last = [snapshot.index, snapshot.term];
    await this.beginSegment([]);
    await this.removeReplaced(snapshot.index);
  }

  /** Removes the files of which a snapshot holds all. */
  private async removeReplaced(index: number): Promise<void> {
    const names = await this.disk.list(this.folder);
    for (const number of findNumbers(names, 'snapshot')) {
      if (number >= index) continue;
      await this.disk.remove(join(this.folder, nameFile('snapshot', number)));
    }
    const kept = this.segments.findIndex(one => one.lastIndex > index);
    for (const {number} of this.segments.slice(0, kept)) {
      await this.disk.remove(join(this.folder, nameFile('log', number)));
    }
    this.segments = this.segments.slice(kept);
  }
}
