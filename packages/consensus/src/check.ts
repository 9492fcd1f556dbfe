import {type Either, Left, Right} from 'purify-ts';
import {
  array,
  boolean,
  Codec,
  exactly,
  oneOf,
  string,
  type Codec as CodecOf,
} from 'purify-ts/Codec';
import type {Message} from './message.js';

/** A whole number of at least 0. */
const count: CodecOf<number> = Codec.custom({
  decode: input =>
    Number.isSafeInteger(input) && (input as number) >= 0
      ? Right(input as number)
      : Left(`expected a whole number of at least 0, got ${String(input)}`),
  encode: value => value,
});

const bytes: CodecOf<Uint8Array> = Codec.custom({
  decode: input =>
    input instanceof Uint8Array
      ? Right(input)
      : Left(`expected bytes, got ${typeof input}`),
  encode: value => value,
});

/** The largest snapshot that a replica takes from another. */
const maxSnapshotBytes = 512 * 1024 * 1024;

const place = {index: count, term: count};
const members = array(
  Codec.interface({id: string, address: string, voter: boolean}),
);
const entry = oneOf([
  Codec.interface({kind: exactly('command'), ...place, command: bytes}),
  Codec.interface({kind: exactly('members'), ...place, members}),
  Codec.interface({kind: exactly('blank'), ...place}),
]);
const round = {term: count, round: count};
const snapshotPlace = Codec.interface({...place, members});

const codecs = {
  'vote-request': Codec.interface({
    kind: exactly('vote-request'),
    term: count,
    preliminary: boolean,
    transferred: boolean,
    lastIndex: count,
    lastTerm: count,
  }),
  'vote-reply': Codec.interface({
    kind: exactly('vote-reply'),
    term: count,
    preliminary: boolean,
    granted: boolean,
  }),
  append: Codec.interface({
    kind: exactly('append'),
    ...round,
    previousIndex: count,
    previousTerm: count,
    commitIndex: count,
    entries: array(entry),
  }),
  'append-accepted': Codec.interface({
    kind: exactly('append-accepted'),
    ...round,
    matchIndex: count,
  }),
  'append-rejected': Codec.interface({
    kind: exactly('append-rejected'),
    ...round,
    previousIndex: count,
    hintIndex: count,
    hintTerm: count,
  }),
  install: Codec.interface({
    kind: exactly('install'),
    ...round,
    snapshot: snapshotPlace,
    totalBytes: count,
    offset: count,
    data: bytes,
  }),
  'take-over': Codec.interface({kind: exactly('take-over'), term: count}),
  'install-progress': Codec.interface({
    kind: exactly('install-progress'),
    ...round,
    index: count,
    offset: count,
  }),
};

/** Checks a message from another replica: the same value, or which part is wrong. */
export function checkMessage(input: unknown): Either<string, Message> {
  const kind = (input as {kind?: unknown} | null)?.kind;
  if (typeof kind !== 'string' || !Object.hasOwn(codecs, kind)) {
    return Left(`expected a replica message, got kind ${String(kind)}`);
  }
  const codec = codecs[kind as Message['kind']];
  return (codec.decode(input) as Either<string, Message>).chain(checkShape);
}

/** Checks what the fields' types don't say. */
function checkShape(message: Message): Either<string, Message> {
  if (message.kind === 'append') {
    const {entries, previousIndex} = message;
    const gap = entries.findIndex(
      (one, i) => one.index !== previousIndex + 1 + i,
    );
    if (gap < 0) return Right(message);
    return Left(
      `expected entry ${previousIndex + 1 + gap}, got ${entries[gap].index}`,
    );
  }
  if (message.kind !== 'install') return Right(message);
  const {offset, data, totalBytes} = message;
  if (totalBytes > maxSnapshotBytes) {
    return Left(`snapshot of ${totalBytes} bytes is over ${maxSnapshotBytes}`);
  }
  if (offset + data.byteLength <= totalBytes) return Right(message);
  return Left(
    `chunk at ${offset} ends after the snapshot's ${totalBytes} bytes`,
  );
}
