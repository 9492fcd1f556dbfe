import {runProfile} from './run.js';

runProfile('short-terms', 300);
