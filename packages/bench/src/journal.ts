import {
  closeSync,
  existsSync,
  mkdirSync,
  openSync,
  readFileSync,
  writeSync,
} from 'node:fs';
import {dirname} from 'node:path';

/** One task start, as recorded by a stand-in target. */
export interface JournalLine {
  readonly job: string;
  readonly task: number;
  readonly target: string;
}

/** Appends task starts to a file that several processes may write to. */
export class JournalWriter implements AsyncDisposable {
  private readonly file: number;

  constructor(path: string) {
    mkdirSync(dirname(path), {recursive: true});
    this.file = openSync(path, 'a');
  }

  /** Appends a line with a single write, so that lines of several writers don't interleave. */
  append(line: JournalLine): void {
    const {job, task, target} = line;
    writeSync(this.file, JSON.stringify({job, task, target}) + '\n');
  }

  async [Symbol.asyncDispose](): Promise<void> {
    closeSync(this.file);
  }
}

/** Reads every task start; a last line without a newline is ignored. */
export function readJournal(path: string): readonly JournalLine[] {
  if (!existsSync(path)) return [];
  const lines = readFileSync(path, 'utf8').split('\n');
  return lines.slice(0, -1).map(line => JSON.parse(line) as JournalLine);
}
