import type {ExecutorEndedRun} from './executor.js';

/** The outcomes received from one incarnation of the executor, and which of them it was told. */
export class Acknowledgements {
  private received = 0;
  private sent = 0;

  /** Number of the latest outcome that was acknowledged to the executor. */
  get lastSent(): number {
    return this.sent;
  }

  /** True when every outcome received has been acknowledged. */
  get isComplete(): boolean {
    return this.sent === this.received;
  }

  /** Records received outcomes. */
  note(ended: readonly ExecutorEndedRun[]): void {
    for (const {number} of ended) {
      this.received = Math.max(this.received, number);
    }
  }

  /** Returns the number of the latest outcome, which is now sent. */
  send(): number {
    this.sent = this.received;
    return this.sent;
  }

  /** Starts again for another incarnation. */
  reset(): void {
    this.received = 0;
    this.sent = 0;
  }
}
