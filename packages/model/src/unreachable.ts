/** Thrown when an internal invariant is violated. No input can cause this, so the process must stop. */
export class BrokenInvariant extends Error {
  override readonly name = 'BrokenInvariant';
}

/** Ends an exhaustive switch; compiles only if every case is handled. */
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
