export {stopOnBrokenInvariants} from './role.js';
export {watchStopSignals} from './signals.js';
