export {Entry} from './entry.js';
export {runEntry} from './run.js';

export type {EntryLeaseOwner} from './lease.js';
export {EntryLease} from './lease.js';
