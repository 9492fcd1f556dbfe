import {Left, Right} from 'purify-ts';
import {Codec, type Codec as CodecOf} from 'purify-ts/Codec';

/** A safe integer of at least 0. */
export const count: CodecOf<number> = Codec.custom({
  decode: input =>
    Number.isSafeInteger(input) && (input as number) >= 0
      ? Right(input as number)
      : Left(`expected a whole number of at least 0, got ${String(input)}`),
  encode: value => value,
});

/** A finite number of at least 0, such as a duration in ms. */
export const nonNegative: CodecOf<number> = Codec.custom({
  decode: input =>
    Number.isFinite(input) && (input as number) >= 0
      ? Right(input as number)
      : Left(`expected a time in ms of at least 0, got ${String(input)}`),
  encode: value => value,
});
