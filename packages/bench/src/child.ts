import {type ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {createInterface} from 'node:readline';

/** How a process ended. */
export type ChildExit =
  | {readonly kind: 'code'; readonly code: number}
  | {readonly kind: 'signal'; readonly signal: NodeJS.Signals}
  /** The program could not be started. */
  | {readonly kind: 'error'; readonly detail: string};

const stopLimitMs = 15_000;

const running = new Set<Child>();

process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** Exits on the first SIGTERM or SIGINT, which also kills every child. */
export function endOnSignals(): void {
  const exitCodeOffset = 128;
  process.once('SIGTERM', () => process.exit(exitCodeOffset + 15));
  process.once('SIGINT', () => process.exit(exitCodeOffset + 2));
}

/**
 * A child process whose standard error goes to a log file. Signals reach its pid only, not its
 * process group.
 */
export class Child implements AsyncDisposable {
  readonly exited: Promise<ChildExit>;
  /** The first line of standard output; empty when there is none. */
  readonly firstLine: Promise<string>;
  private exit: ChildExit | undefined;

  private constructor(private readonly process: ChildProcess) {
    this.exited = new Promise(resolve => {
      process.once('error', error =>
        resolve({kind: 'error', detail: error.message}),
      );
      process.once('exit', (code, signal) =>
        resolve(
          signal === null
            ? {kind: 'code', code: code ?? 0}
            : {kind: 'signal', signal},
        ),
      );
    });
    running.add(this);
    void this.exited.then(exit => {
      this.exit = exit;
      running.delete(this);
    });
    const lines = createInterface(process.stdout!);
    this.firstLine = new Promise(resolve => {
      lines.once('line', resolve);
      lines.once('close', () => resolve(''));
    });
  }

  /** Starts a program and appends its standard error to the log. */
  static start(file: string, args: readonly string[], log: string): Child {
    const stderr = openSync(log, 'a');
    const child = spawn(file, args, {stdio: ['ignore', 'pipe', stderr]});
    closeSync(stderr);
    return new Child(child);
  }

  get pid(): number {
    return this.process.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.exit === undefined && this.process.pid !== undefined;
  }

  /** Sends a signal unless the process has exited. */
  kill(signal: NodeJS.Signals): void {
    if (this.isRunning) this.process.kill(signal);
  }

  /** Sends SIGTERM, then SIGKILL when the process hasn't exited within the limit. */
  async stop(limitMs = stopLimitMs): Promise<ChildExit> {
    this.kill('SIGCONT');
    this.kill('SIGTERM');
    const timer = setTimeout(() => this.kill('SIGKILL'), limitMs);
    const exit = await this.exited;
    clearTimeout(timer);
    return exit;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.stop();
  }
}
