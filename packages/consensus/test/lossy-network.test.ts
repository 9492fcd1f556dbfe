import {runProfile} from './run-profile.js';

runProfile('lossy-network', 600);
