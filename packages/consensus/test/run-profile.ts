import test from 'ava';
import {profiles, type ProfileName} from './profiles.js';
import {Simulation} from './simulation.js';

const seedsPerTest = 50;

/** Declares tests that run a fault profile with seeds 1 to `seeds`; a failure names its seed. */
export function runProfile(name: ProfileName, seeds: number): void {
  for (let from = 1; from <= seeds; from += seedsPerTest) {
    const to = from + seedsPerTest - 1;
    test(`${name}: seeds ${from} to ${to} lose no committed entry and recover`, t => {
      for (let seed = from; seed <= to; seed++) {
        const run = () => new Simulation(seed, profiles[name]).run();
        t.notThrows(run, `seed ${seed}, profile ${name}`);
      }
    });
  }
}
