import {failUnreachable} from '#model';
import type {ViewChange, WatchParams} from '#protocol';

/** Trimmed to this many indexes once it holds twice as many, so that trimming is rare. */
const retainedEntries = 8192;

interface BufferedChanges {
  readonly index: number;
  readonly changes: readonly ViewChange[];
}

/** Buffer of the latest view changes by log index, from which a watcher resumes at a revision. */
export class ChangeBuffer {
  private entries: BufferedChanges[] = [];
  /** Every change after this revision is in the buffer. */
  private start = 0;

  /** Adds the changes of a log index, which must be above all earlier ones. */
  add(index: number, changes: readonly ViewChange[]): void {
    if (changes.length === 0) return;
    this.entries.push({index, changes});
    if (this.entries.length < 2 * retainedEntries) return;
    this.start = this.entries[this.entries.length - retainedEntries - 1].index;
    this.entries = this.entries.slice(-retainedEntries);
  }

  /** Empties the buffer: only changes after the revision will be available. */
  restart(revision: number): void {
    this.entries = [];
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
        return selectLatest(changes);
      default:
        return failUnreachable(topics);
    }
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

function isAboutTargets({kind}: ViewChange): boolean {
  return (
    kind === 'target-joined' || kind === 'target-gone' || isEvacuation(kind)
  );
}

/** Selects the latest configuration and all evacuations. */
function selectLatest(changes: readonly ViewChange[]): readonly ViewChange[] {
  const latest = changes.findLast(({kind}) => kind === 'configured');
  return changes.filter(
    change => change === latest || isEvacuation(change.kind),
  );
}

function isEvacuation(kind: ViewChange['kind']): boolean {
  return kind === 'domain-evacuated' || kind === 'domain-restored';
}
