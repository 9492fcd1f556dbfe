import {runProfile} from './run-profile.js';

runProfile('three-replicas', 600);
