import type {EntryId, Epoch} from '#model';
import type {HelloParams} from '#protocol';

/** One entry process's current connection. */
export interface Session {
  readonly entry: EntryId;
  readonly epoch: Epoch;
  readonly connection: number;
}

export type HelloVerdict =
  /** `replaced` is the entry's session until now, of this epoch or an older one. */
  | {readonly kind: 'welcome'; readonly replaced?: Session}
  | {readonly kind: 'fenced'};

/** The newest session of each entry. Epochs and connections never go back. */
export class Sessions {
  private readonly newest = new Map<EntryId, Session>();

  /** Judges a hello: only a newer epoch, or a newer connection of the same one, is welcome. */
  judge(hello: HelloParams): HelloVerdict {
    const known = this.newest.get(hello.entry);
    if (known !== undefined && !isNewer(hello, known)) return {kind: 'fenced'};
    this.newest.set(hello.entry, {
      entry: hello.entry,
      epoch: hello.epoch,
      connection: hello.connection,
    });
    return {kind: 'welcome', replaced: known};
  }
}

function isNewer(hello: HelloParams, known: Session): boolean {
  if (hello.epoch !== known.epoch) return hello.epoch > known.epoch;
  return hello.connection > known.connection;
}
