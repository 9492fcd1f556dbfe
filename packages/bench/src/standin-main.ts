import {readFileSync} from 'node:fs';
import {JournalWriter} from './journal.js';
import {openStandIn, type StandInOptions} from './standin.js';

/** The contents of the file named on the command line. */
interface StandInFile {
  readonly journal: string;
  readonly standIns: readonly StandInOptions[];
}

const path = process.argv[2];
if (path === undefined) {
  console.error('usage: node standin-main.js FILE');
  process.exit(2);
}
const file = JSON.parse(readFileSync(path, 'utf8')) as StandInFile;
const journal = new JournalWriter(file.journal);
const standIns = await Promise.all(
  file.standIns.map(options =>
    openStandIn(options, line => journal.append(line)),
  ),
);
const ready = standIns.map(({target, url}) => ({target, url}));
console.log(JSON.stringify({standIns: ready}));

const stop = async () => {
  await Promise.all(standIns.map(one => one[Symbol.asyncDispose]()));
  await journal[Symbol.asyncDispose]();
};
process.once('SIGTERM', () => void stop());
process.once('SIGINT', () => void stop());
