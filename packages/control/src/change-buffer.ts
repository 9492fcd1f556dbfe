import {failUnreachable} from '#model';
import type {ViewChange, WatchParams} from '#protocol';

/** Trimmed to this many indexes once it holds twice as many, so that trimming is rare. */
const retainedEntries = 8192;

interface BufferedChanges {
  readonly index: number;
  changes: readonly ViewChange[];
}

/**
 * Buffer of the latest view changes by log index, from which a watcher resumes at a revision. Of the
 * configurations, each of which replaces the one before, it holds the latest alone.
 */
export class ChangeBuffer {
  private entries: BufferedChanges[] = [];
  /** Every change after this revision is in the buffer. */
  private start = 0;
  /** The entry that holds the configuration. */
  private configured: BufferedChanges | undefined;

  /** Adds the changes of a log index, which must be above all earlier ones. */
  add(index: number, changes: readonly ViewChange[]): void {
    if (changes.length === 0) return;
    const entry = {index, changes};
    this.entries.push(entry);
    if (changes.some(isConfiguration)) this.replaceConfiguration(entry);
    if (this.entries.length < 2 * retainedEntries) return;
    this.start = this.entries[this.entries.length - retainedEntries - 1].index;
    this.entries = this.entries.slice(-retainedEntries);
  }

  /** Empties the buffer: only changes after the revision will be available. */
  restart(revision: number): void {
    this.entries = [];
    this.configured = undefined;
    this.start = revision;
  }

  /** Collects the changes after a revision; undefined when some are no longer in the buffer. */
  collectSince(
    revision: number,
    topics: WatchParams['topics'],
  ): readonly ViewChange[] | undefined {
    if (revision < this.start) return undefined;
    const changes: ViewChange[] = [];
    for (const entry of this.entries.slice(this.findFirstAfter(revision))) {
      changes.push(...entry.changes);
    }
    switch (topics) {
      case 'all':
        return changes;
      case 'targets':
        return changes.filter(isAboutTargets);
      case 'configuration':
        return changes.filter(
          change => isConfiguration(change) || isEvacuation(change),
        );
      default:
        return failUnreachable(topics);
    }
  }

  private replaceConfiguration(entry: BufferedChanges): void {
    const {configured} = this;
    this.configured = entry;
    if (configured === undefined) return;
    configured.changes = configured.changes.filter(
      change => !isConfiguration(change),
    );
  }

  private findFirstAfter(revision: number): number {
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.entries[middle].index > revision) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}

function isConfiguration({kind}: ViewChange): boolean {
  return kind === 'configured';
}

function isAboutTargets(change: ViewChange): boolean {
  return (
    change.kind === 'target-joined' ||
    change.kind === 'target-gone' ||
    isEvacuation(change)
  );
}

function isEvacuation({kind}: ViewChange): boolean {
  return kind === 'domain-evacuated' || kind === 'domain-restored';
}
