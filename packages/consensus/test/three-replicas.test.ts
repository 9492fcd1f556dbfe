import {runProfile} from './run.js';

runProfile('three-replicas', 600);
