export {runAgent} from './run.js';

export type {AgentOptions} from './agent.js';
export {Agent} from './agent.js';

export type {RunOutcome, RunRequest, Target} from './target.js';
export type {ControlLinkOwner} from './control-link.js';
export {ControlLink} from './control-link.js';
export {Executor} from './executor.js';
export type {WorkerOptions} from './worker.js';
export {Worker} from './worker.js';
