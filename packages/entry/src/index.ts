export {Entry} from './entry.js';
export {runEntry} from './run.js';
