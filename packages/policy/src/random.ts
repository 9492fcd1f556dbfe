import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A deterministic random source: the same seed yields the same sequence. */
export interface RandomSource {
  /** Draws an integer from 0 (inclusive) to the bound (exclusive). */
  readonly drawInt: (bound: number) => number;
  /** Draws a number from 0 (inclusive) to 1 (exclusive). */
  readonly drawFloat: () => number;
}

/** Creates a random source from an integer seed. */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {
    drawInt: bound => uniformInt(generator, 0, bound - 1),
    drawFloat: () => uniformFloat64(generator),
  };
}
