export type {JobOutcome, JobSubmission} from './active-job.js';
export {ConfigurationHolder} from './configuration-holder.js';
export type {DispatcherOptions} from './dispatcher.js';
export {Dispatcher, findQueue} from './dispatcher.js';
