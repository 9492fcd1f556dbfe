import type {Clock, Instant} from '#model';

/** Resolves with undefined at a deadline. */
export function sleepUntil(
  deadline: Instant,
  clock: Clock,
): Promise<undefined> {
  const ms = Math.max(0, deadline - clock.now());
  return new Promise(resolve => setTimeout(resolve, ms, undefined));
}
