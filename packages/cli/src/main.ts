import {Command} from 'commander';

const program = new Command('wasabiring')
  .description('A dispatcher for sub-second tasks')
  .version('0.1.0');

void program.parseAsync();
