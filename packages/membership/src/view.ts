import {
  type EndedEpoch,
  type EntryInfo,
  type Epoch,
  failUnreachable,
  type FailureDomain,
  type ServiceName,
  type TargetInfo,
  type VersionedSource,
} from '#model';
import type {
  GoneTarget,
  View as WireView,
  ViewChange,
  ViewUpdate,
} from '#protocol';
import {PersistentMap} from './persistent-map.js';

/** What a process knows about the site at a revision. Immutable; a changed view shares its unchanged parts. */
export interface View {
  /** Never decreases; 0 before the first update. */
  readonly revision: number;
  /** By target id. */
  readonly targets: PersistentMap<TargetInfo>;
  /** The same targets by service, then by target id. */
  readonly services: ReadonlyMap<ServiceName, PersistentMap<TargetInfo>>;
  /** Ended incarnations of agents, in the order in which they ended. */
  readonly gone: readonly GoneTarget[];
  readonly entries: ReadonlyMap<Epoch, EntryInfo>;
  readonly ended: ReadonlyMap<Epoch, EndedEpoch>;
  /** Version 0 before the first update. */
  readonly configuration: VersionedSource;
  /** Failure domains in which no task may start. */
  readonly evacuated: ReadonlySet<FailureDomain>;
}

/** The result of an update: `stale` when it is older than the view, `gap` when changes before it are missing. */
export type ViewUpdateResult =
  | {
      readonly kind: 'applied';
      readonly view: View;
    }
  | {readonly kind: 'stale'}
  | {readonly kind: 'gap'};

/** The view of a process that has received no update. */
export const emptyView: View = {
  revision: 0,
  targets: PersistentMap.collect<TargetInfo>([]),
  services: new Map(),
  gone: [],
  entries: new Map(),
  ended: new Map(),
  configuration: {
    version: 0,
    changeId: '',
    author: '',
    source: {base: '', overlays: {}},
  },
  evacuated: new Set(),
};

/** Applies an update. The revision and the configuration's version never decrease. */
export function applyUpdate(view: View, update: ViewUpdate): ViewUpdateResult {
  if (update.revision < view.revision) return {kind: 'stale'};
  switch (update.kind) {
    case 'full':
      return {
        kind: 'applied',
        view: buildIndexedView(update.revision, update.view),
      };
    case 'delta':
      if (update.from > view.revision) return {kind: 'gap'};
      return {
        kind: 'applied',
        view: {
          ...update.changes.reduce(applyChange, view),
          revision: update.revision,
        },
      };
    default:
      return failUnreachable(update);
  }
}

/** Returns the targets of a service; an empty map when it has none. */
export function findTargets(
  view: View,
  service: ServiceName,
): PersistentMap<TargetInfo> {
  return view.services.get(service) ?? emptyView.targets;
}

function buildIndexedView(revision: number, wire: WireView): View {
  const byService = new Map<ServiceName, [string, TargetInfo][]>();
  for (const target of wire.targets) {
    const same = byService.get(target.service) ?? [];
    same.push([target.target, target]);
    byService.set(target.service, same);
  }
  return {
    revision,
    targets: PersistentMap.collect(
      wire.targets.map(target => [target.target, target] as const),
    ),
    services: new Map(
      [...byService].map(([service, targets]) => [
        service,
        PersistentMap.collect(targets),
      ]),
    ),
    gone: wire.gone,
    entries: new Map(wire.entries.map(entry => [entry.epoch, entry])),
    ended: new Map(wire.ended.map(ended => [ended.epoch, ended])),
    configuration: wire.configuration,
    evacuated: new Set(wire.evacuated),
  };
}

function applyChange(view: View, change: ViewChange): View {
  switch (change.kind) {
    case 'target-joined':
      return addTarget(view, change.target);
    case 'target-gone': {
      const {target, incarnation, revision} = change.gone;
      const isKnown = (view.gone.at(-1)?.revision ?? 0) >= revision;
      const gone = isKnown ? view.gone : [...view.gone, change.gone];
      const known = view.targets.get(target);
      const remaining =
        known?.incarnation === incarnation ? removeTarget(view, known) : view;
      return {...remaining, gone};
    }
    case 'gone-forgotten': {
      const {untilRevision} = change;
      const gone = view.gone.filter(({revision}) => revision > untilRevision);
      return {...view, gone};
    }
    case 'entry-opened': {
      const entries = new Map(view.entries);
      entries.set(change.entry.epoch, change.entry);
      return {...view, entries};
    }
    case 'epoch-ended': {
      const entries = new Map(view.entries);
      entries.delete(change.ended.epoch);
      const ended = new Map(view.ended);
      ended.set(change.ended.epoch, change.ended);
      return {...view, entries, ended};
    }
    case 'epoch-forgotten': {
      const ended = new Map(view.ended);
      ended.delete(change.epoch);
      return {...view, ended};
    }
    case 'configured':
      return {...view, configuration: change.configuration};
    case 'domain-evacuated':
      return {...view, evacuated: new Set([...view.evacuated, change.domain])};
    case 'domain-restored': {
      const evacuated = new Set(view.evacuated);
      evacuated.delete(change.domain);
      return {...view, evacuated};
    }
    default:
      return failUnreachable(change);
  }
}

function addTarget(view: View, target: TargetInfo): View {
  const known = view.targets.get(target.target);
  const rest =
    known === undefined || known.service === target.service
      ? view
      : removeTarget(view, known);
  const services = new Map(rest.services);
  services.set(
    target.service,
    findTargets(rest, target.service).set(target.target, target),
  );
  return {...rest, targets: rest.targets.set(target.target, target), services};
}

function removeTarget(view: View, target: TargetInfo): View {
  const services = new Map(view.services);
  const remaining = findTargets(view, target.service).delete(target.target);
  if (remaining.size === 0) services.delete(target.service);
  else services.set(target.service, remaining);
  return {...view, targets: view.targets.delete(target.target), services};
}
