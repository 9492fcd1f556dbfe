const pollIntervalMs = 50;

/** Waits for that many ms. */
export function sleepFor(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Polls until the condition holds; fails with its name when it does not within the limit. */
export async function waitUntil(
  name: string,
  limitMs: number,
  holds: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + limitMs;
  while (!(await holds())) {
    if (performance.now() > deadline) {
      throw new Error(`${name}: not within ${limitMs} ms`);
    }
    await sleepFor(pollIntervalMs);
  }
}
