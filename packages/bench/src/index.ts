export {JournalWriter, readJournal} from './journal.js';
export type {JournalLine} from './journal.js';

export type {StandIn, StandInOptions} from './standin.js';
export {openStandIn} from './standin.js';
export type {Temper} from './temper.js';
export {evenTemper} from './temper.js';

export type {Fault, Identify} from './proxy.js';
export {FaultProxy, noFault} from './proxy.js';
