import {runProfile} from './run-profile.js';

runProfile('replaced-disks', 600);
