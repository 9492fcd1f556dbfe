export {Entry} from './entry.js';
export {runEntry} from './run.js';

export type {LeasePort} from './lease.js';
export {EntryLease} from './lease.js';
