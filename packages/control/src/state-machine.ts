import {
  assertInvariant,
  BrokenInvariant,
  failUnreachable,
  type VersionedSource,
} from '#model';
import type {View, ViewChange, ViewUpdate, WatchParams} from '#protocol';
import {
  applyCommand,
  buildView,
  type Command,
  type CommandResult,
  type ControlState,
  createState,
  decodeSnapshot,
  emptyView,
  encodeSnapshot,
} from '#membership';
import type {AppliedCommand, StateMachine} from '#storage';
import {ChangeBuffer} from './change-buffer.js';

const emptyWireView: View = {
  targets: [],
  gone: [],
  entries: [],
  ended: [],
  configuration: emptyView.configuration,
};

/** The replica's copy of the control state, with the recent changes from which watchers are updated. */
export class ControlMachine implements StateMachine<Command, CommandResult> {
  private current: ControlState = createState();
  private readonly recentChanges = new ChangeBuffer();

  /** `onChange` is called after each applied batch or restored snapshot that affects watchers. */
  constructor(private readonly onChange: () => void) {}

  get state(): ControlState {
    return this.current;
  }

  apply(entries: readonly AppliedCommand<Command>[]): readonly CommandResult[] {
    let changed = false;
    const results = entries.map(({index, command}) => {
      const {result, changes} = applyCommand(this.current, command, index);
      this.recentChanges.add(index, changes);
      changed ||= changes.length > 0;
      return result;
    });
    if (changed) this.onChange();
    return results;
  }

  /** Drops the state, which is then built again from a snapshot and the log. */
  reset(): void {
    this.current = createState();
    this.recentChanges.restart(this.current.revision);
  }

  takeSnapshot(): Uint8Array {
    return encodeSnapshot(this.current);
  }

  restoreSnapshot(data: Uint8Array, index: number): void {
    this.current = decodeSnapshot(data).caseOf({
      Left: detail => {
        throw new BrokenInvariant(detail);
      },
      Right: state => state,
    });
    assertInvariant(
      this.current.revision <= index,
      `the snapshot at index ${index} contains a later revision, ${this.current.revision}`,
    );
    this.recentChanges.restart(this.current.revision);
    this.onChange();
  }

  /** Builds the update for a watcher at a revision: the changes since then, or the full view. */
  buildUpdate(since: number, topics: WatchParams['topics']): ViewUpdate {
    const {revision} = this.current;
    const changes = this.recentChanges
      .collectSince(since, topics)
      ?.map(removeChangedDocument);
    if (since > 0 && changes !== undefined) {
      return {kind: 'delta', from: since, revision, changes};
    }
    const {configuration, evacuations} = this.current;
    const changedAt = Math.max(configuration.revision, evacuations.revision);
    if (topics === 'configuration' && since >= changedAt) {
      return {kind: 'delta', from: since, revision, changes: []};
    }
    const view = buildView(this.current);
    return {kind: 'full', revision, view: selectTopics(view, topics)};
  }
}

/**
 * Leaves out another system's document, which doubles the size of a large configuration; watchers use
 * what was made of it. `control.readConfig` answers with the document.
 */
function removeDocument(configuration: VersionedSource): VersionedSource {
  const {source} = configuration;
  if (source.origin === undefined) return configuration;
  const origin = {...source.origin, document: ''};
  return {...configuration, source: {...source, origin}};
}

function removeChangedDocument(change: ViewChange): ViewChange {
  if (change.kind !== 'configured') return change;
  return {...change, configuration: removeDocument(change.configuration)};
}

function selectTopics(view: View, topics: WatchParams['topics']): View {
  const {targets, evacuated} = view;
  const configuration = removeDocument(view.configuration);
  switch (topics) {
    case 'all':
      return {...view, configuration};
    case 'configuration':
      return {...emptyWireView, configuration, evacuated};
    case 'targets':
      return {...emptyWireView, targets, evacuated};
    default:
      return failUnreachable(topics);
  }
}
