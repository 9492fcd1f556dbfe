import {Left, Right} from 'purify-ts';
import type {ControlRole, ProcessSettings} from '#settings';
import type {Runtime} from '#telemetry';
import type {StartReplica} from './control.js';
import {createLocalReplica} from './local.js';

/** Starts the replica on the data folder of the settings. */
export function startReplicated(
  {role}: ProcessSettings<ControlRole>,
  _runtime: Pick<Runtime, 'log' | 'clock'>,
): StartReplica {
  return async ({id, address, machine}) =>
    role.members.length > 1
      ? Left('only a group of one can be started so far')
      : Right(createLocalReplica(id, address, machine));
}
