export type {ControlOptions, ReplicaPorts, StartReplica} from './control.js';
export {Control} from './control.js';
export type {Replica} from './replica.js';
export {createLocalReplica} from './local.js';
export {startReplicated} from './replicated.js';
export {runControl} from './run.js';
