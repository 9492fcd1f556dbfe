import type {ExecutionContext} from 'ava';
import {type Handlers, PeerListener} from '#protocol';
import {runProgram} from '../src/program.js';

/** Exit code and output of a command. */
export interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs a command line, given as text to split at spaces or as arguments. */
export async function runCommand(
  line: string | readonly string[],
): Promise<CommandResult> {
  const args = typeof line === 'string' ? line.split(' ') : line;
  let out = '';
  let err = '';
  const code = await runProgram(args, {
    out: text => (out += text),
    err: text => (err += text),
  });
  return {code, out, err};
}

/** Serves RPC requests on loopback until the test ends; returns the address. */
export async function serveRpc(
  t: ExecutionContext,
  handlers: Handlers,
): Promise<string> {
  const listener = (
    await PeerListener.listen('127.0.0.1:0', handlers)
  ).unsafeCoerce();
  t.teardown(() => listener[Symbol.asyncDispose]());
  return listener.address;
}
