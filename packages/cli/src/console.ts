/** Where a command writes. Tests pass their own. */
export interface Console {
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
}

export const standardConsole: Console = {
  out: text => process.stdout.write(text),
  err: text => process.stderr.write(text),
};

/** How a command shows its result. */
export interface OutputOptions {
  readonly json?: boolean;
}

/** Prints a result: as one line of JSON for programs, otherwise as rendered for people. */
export function printResult<Result>(
  console: Console,
  options: OutputOptions,
  result: Result,
  render: (result: Result) => string,
): void {
  const text = options.json ? JSON.stringify(result) : render(result);
  console.out(text.endsWith('\n') ? text : `${text}\n`);
}

/** Prints why a command failed: lines on standard error, or one line of JSON. */
export function printErrors(
  console: Console,
  options: OutputOptions,
  errors: readonly string[],
): void {
  const text = options.json ? JSON.stringify({errors}) : errors.join('\n');
  console.err(`${text}\n`);
}
