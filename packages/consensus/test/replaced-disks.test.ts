import {runProfile} from './run.js';

runProfile('replaced-disks', 600);
