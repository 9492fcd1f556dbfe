import {runProfile} from './run.js';

runProfile('five-replicas', 600);
