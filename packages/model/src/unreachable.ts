/** A condition that no input can bring about does not hold: the process must stop. */
export class BrokenInvariant extends Error {
  override readonly name = 'BrokenInvariant';
}

/** Ends an exhaustive switch. Compiles only where every kind is handled. */
export function failUnreachable(value: never): never {
  throw new BrokenInvariant(`unhandled case ${JSON.stringify(value)}`);
}

/** Throws `BrokenInvariant` with the message unless the condition holds. */
export function assertInvariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new BrokenInvariant(message);
}
