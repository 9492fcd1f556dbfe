import {runProfile} from './run-profile.js';

runProfile('short-terms', 300);
