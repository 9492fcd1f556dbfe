import type {RunEnd} from '#model';
import {
  decreaseFailing,
  initialStats,
  observeWork,
  type ObservedWork,
  recordFailure,
  recordSuccess,
  recoverSpeed,
  type TargetStats,
} from './target-stats.js';

/** Keeps the statistics of the executor's present incarnation. */
export class StatsRecorder {
  private stats: TargetStats = initialStats;

  get current(): TargetStats {
    return this.stats;
  }

  /** Forgets the executor's earlier incarnation. */
  reset(): void {
    this.stats = initialStats;
  }

  observe(work: readonly ObservedWork[]): void {
    this.stats = work.reduce(observeWork, this.stats);
  }

  /** Records a run that stalled or could not be started. */
  recordFailure(): void {
    this.stats = recordFailure(this.stats);
  }

  recordEnd(end: RunEnd): void {
    if (end === 'succeeded') this.stats = recordSuccess(this.stats);
    if (end === 'failed') this.recordFailure();
  }

  /** Lets old observations fade; called at each tick. */
  tick(isIdle: boolean): void {
    this.stats = decreaseFailing(this.stats);
    if (isIdle) this.stats = recoverSpeed(this.stats);
  }
}
