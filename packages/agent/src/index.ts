export {runAgent} from './run.js';
export type {AgentOptions} from './agent.js';
export {Agent} from './agent.js';
