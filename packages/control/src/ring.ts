import {failUnreachable} from '#model';
import type {ViewChange, WatchParams} from '#protocol';

const maxEntries = 8192;

interface RingEntry {
  readonly index: number;
  readonly changes: readonly ViewChange[];
}

/** The latest view changes by log index, so that a watcher can resume at a revision. */
export class ChangeRing {
  private entries: RingEntry[] = [];
  /** Every change after this revision is here. */
  private start = 0;

  /** Adds the changes of a log index above all earlier ones. */
  add(index: number, changes: readonly ViewChange[]): void {
    if (changes.length === 0) return;
    this.entries.push({index, changes});
    if (this.entries.length < 2 * maxEntries) return;
    this.start = this.entries[this.entries.length - maxEntries - 1].index;
    this.entries = this.entries.slice(-maxEntries);
  }

  /** Drops everything: only later changes will be known. */
  restart(revision: number): void {
    this.entries = [];
    this.start = revision;
  }

  /** Collects the changes after a revision; undefined when some are not here any more. */
  collectSince(
    revision: number,
    topics: WatchParams['topics'],
  ): readonly ViewChange[] | undefined {
    if (revision < this.start) return undefined;
    const changes: ViewChange[] = [];
    for (const entry of this.entries.slice(this.findAfter(revision))) {
      changes.push(...entry.changes);
    }
    switch (topics) {
      case 'all':
        return changes;
      case 'targets':
        return changes.filter(isAboutTargets);
      case 'configuration':
        return changes.filter(({kind}) => kind === 'configured').slice(-1);
      default:
        return failUnreachable(topics);
    }
  }

  private findAfter(revision: number): number {
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

function isAboutTargets({kind}: ViewChange): boolean {
  return kind === 'target-joined' || kind === 'target-gone';
}
