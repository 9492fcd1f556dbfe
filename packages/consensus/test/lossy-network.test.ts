import {runProfile} from './run.js';

runProfile('lossy-network', 600);
