export type {JobOutcome, JobSubmission} from './active-job.js';
export {ConfigurationHolder} from './configuration-holder.js';
export type {DispatcherOptions} from './dispatcher-options.js';
export {Dispatcher} from './dispatcher.js';
export {findQueue} from './queue.js';
export {JobRouter, type JobRouterOptions} from './router.js';
