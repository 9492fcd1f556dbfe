import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const fractionSteps = 2 ** 30;

/** Seeded random numbers: the same seed gives the same sequence. */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Picks an integer in [min, max]. */
  pickInt(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  /** Picks a number in [0, 1). */
  pickFraction(): number {
    return this.pickInt(0, fractionSteps - 1) / fractionSteps;
  }

  /** Returns true with the given probability. */
  pickBoolean(probability: number): boolean {
    return this.pickFraction() < probability;
  }

  pickOne<Item>(items: readonly Item[]): Item {
    return items[this.pickInt(0, items.length - 1)]!;
  }

  /** Picks a number in [min, max] whose logarithm is uniformly distributed. */
  pickLogUniform(min: number, max: number): number {
    return min * (max / min) ** this.pickFraction();
  }

  /** Picks an exponentially distributed number, such as the interarrival time of a Poisson process. */
  pickExponential(mean: number): number {
    return -mean * Math.log(1 - this.pickFraction());
  }
}
