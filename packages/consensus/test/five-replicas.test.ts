import {runProfile} from './run-profile.js';

runProfile('five-replicas', 600);
