export type {JobOutcome} from './active-job.js';
export type {DispatcherOptions, JobSubmission} from './dispatcher.js';
export {Dispatcher, findQueue} from './dispatcher.js';
