/** Output streams of a command; tests replace them. */
export interface Console {
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
}

export const standardConsole: Console = {
  out: text => process.stdout.write(text),
  err: text => process.stderr.write(text),
};

export interface OutputOptions {
  readonly json?: boolean;
}

/** Prints a result as one line of JSON with `--json`, otherwise as the text that `render` returns. */
export function printResult<Result>(
  console: Console,
  options: OutputOptions,
  result: Result,
  render: (result: Result) => string,
): void {
  const text = options.json ? JSON.stringify(result) : render(result);
  console.out(text.endsWith('\n') ? text : `${text}\n`);
}

/** Prints errors to standard error, one per line, or as one line of JSON with `--json`. */
export function printErrors(
  console: Console,
  options: OutputOptions,
  errors: readonly string[],
): void {
  const text = options.json ? JSON.stringify({errors}) : errors.join('\n');
  console.err(`${text}\n`);
}
