import {runProfile} from './run-profile.js';

runProfile('self-repair-of-five', 1000);
