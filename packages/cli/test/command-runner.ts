import type {ExecutionContext} from 'ava';
import {type Handlers, PeerListener} from '#protocol';
import {runProgram} from '../src/program.js';

/** What a command wrote and how it ended. */
export interface Outcome {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs a command line given as one text, or as its words. */
export async function run(line: string | readonly string[]): Promise<Outcome> {
  const words = typeof line === 'string' ? line.split(' ') : line;
  let out = '';
  let err = '';
  const code = await runProgram(words, {
    out: text => (out += text),
    err: text => (err += text),
  });
  return {code, out, err};
}

/** Serves inner requests on loopback until the test ends; returns the address. */
export async function serve(
  t: ExecutionContext,
  handlers: Handlers,
): Promise<string> {
  const listener = (
    await PeerListener.listen('127.0.0.1:0', handlers)
  ).unsafeCoerce();
  t.teardown(() => listener[Symbol.asyncDispose]());
  return listener.address;
}
