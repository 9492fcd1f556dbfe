const pollIntervalMs = 50;

export function sleepFor(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Polls until the condition holds; throws an error with its description on a timeout. */
export async function waitUntil(
  description: string,
  timeoutMs: number,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline) {
      throw new Error(`${description}: timed out after ${timeoutMs} ms`);
    }
    await sleepFor(pollIntervalMs);
  }
}
