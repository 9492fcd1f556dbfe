import type {Instant} from '#model';

/** A run that waits at a full target starts when one of the runs there ends, which may take this long. */
const fullTargetWaitMs = 150;

/**
 * Whether a run may wait at its target when that has filled up since its load was reported. A run that
 * would become late by waiting is returned to its dispatcher, which knows other targets with free
 * capacity; one that is late already, or has time to wait, is not worth the messages.
 *
 * Load pattern: several dispatchers that see the same free capacity, milliseconds late, in a pool of
 * which two thirds are in use. Tasks of 80 ms whose job has 100 ms of slack then waited behind tasks of a
 * second, beside targets with free capacity.
 */
export function canWaitAtTarget(latestStart: Instant, now: Instant): boolean {
  const slackMs = latestStart - now;
  return slackMs < 0 || slackMs >= fullTargetWaitMs;
}
