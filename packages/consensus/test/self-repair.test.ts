import {runProfile} from './run-profile.js';

runProfile('self-repair', 1000);
