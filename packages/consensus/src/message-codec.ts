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

/** A safe integer of at least 0. */
const wholeNumber: CodecOf<number> = Codec.custom({
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

/** Largest snapshot accepted from another replica. */
const maxSnapshotBytes = 512 * 1024 * 1024;

const positionFields = {index: wholeNumber, term: wholeNumber};
const members = array(
  Codec.interface({id: string, address: string, voter: boolean}),
);
const entry = oneOf([
  Codec.interface({
    kind: exactly('command'),
    ...positionFields,
    command: bytes,
  }),
  Codec.interface({kind: exactly('members'), ...positionFields, members}),
  Codec.interface({kind: exactly('blank'), ...positionFields}),
]);
const roundFields = {term: wholeNumber, round: wholeNumber};
const snapshotMetadata = Codec.interface({...positionFields, members});

const codecs = {
  'vote-request': Codec.interface({
    kind: exactly('vote-request'),
    term: wholeNumber,
    preliminary: boolean,
    transferred: boolean,
    lastIndex: wholeNumber,
    lastTerm: wholeNumber,
  }),
  'vote-reply': Codec.interface({
    kind: exactly('vote-reply'),
    term: wholeNumber,
    preliminary: boolean,
    granted: boolean,
  }),
  append: Codec.interface({
    kind: exactly('append'),
    ...roundFields,
    previousIndex: wholeNumber,
    previousTerm: wholeNumber,
    commitIndex: wholeNumber,
    entries: array(entry),
  }),
  'append-accepted': Codec.interface({
    kind: exactly('append-accepted'),
    ...roundFields,
    matchIndex: wholeNumber,
  }),
  'append-rejected': Codec.interface({
    kind: exactly('append-rejected'),
    ...roundFields,
    previousIndex: wholeNumber,
    hintIndex: wholeNumber,
    hintTerm: wholeNumber,
  }),
  install: Codec.interface({
    kind: exactly('install'),
    ...roundFields,
    snapshot: snapshotMetadata,
    totalBytes: wholeNumber,
    offset: wholeNumber,
    data: bytes,
  }),
  'take-over': Codec.interface({kind: exactly('take-over'), term: wholeNumber}),
  'install-progress': Codec.interface({
    kind: exactly('install-progress'),
    ...roundFields,
    index: wholeNumber,
    offset: wholeNumber,
  }),
};

/** Validates a message from another replica. Left says which part is malformed. */
export function checkMessage(input: unknown): Either<string, Message> {
  const kind = (input as {kind?: unknown} | null)?.kind;
  if (typeof kind !== 'string' || !Object.hasOwn(codecs, kind)) {
    return Left(`expected a replica message, got kind ${String(kind)}`);
  }
  const codec = codecs[kind as Message['kind']];
  return (codec.decode(input) as Either<string, Message>).chain(
    checkConsistency,
  );
}

/** Checks relations between fields: entry indexes without gaps, snapshot size and chunk range. */
function checkConsistency(message: Message): Either<string, Message> {
  if (message.kind === 'append') {
    const {entries, previousIndex} = message;
    const gap = entries.findIndex(
      (item, i) => item.index !== previousIndex + 1 + i,
    );
    if (gap < 0) return Right(message);
    return Left(
      `expected entry ${previousIndex + 1 + gap}, got ${entries[gap].index}`,
    );
  }
  if (message.kind !== 'install') return Right(message);
  const {offset, data, totalBytes} = message;
  if (totalBytes > maxSnapshotBytes) {
    return Left(
      `snapshot of ${totalBytes} bytes exceeds the limit of ${maxSnapshotBytes}`,
    );
  }
  if (offset + data.byteLength <= totalBytes) return Right(message);
  return Left(
    `chunk at offset ${offset} exceeds the snapshot size of ${totalBytes} bytes`,
  );
}
