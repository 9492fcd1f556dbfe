/**
 * A timer that fires only after the poll phase, once data that arrived before it was due has been read.
 * The event loop runs due timers before it polls sockets, so that after a long iteration a plain timer
 * would time out although the awaited data is already in the socket.
 */
export class PostPollTimer implements Disposable {
  private readonly timer: NodeJS.Timeout;
  private immediate: NodeJS.Immediate | undefined;

  constructor(ms: number, act: () => void) {
    this.timer = setTimeout(() => {
      this.immediate = setImmediate(act);
    }, ms);
  }

  /** Lets the process exit while the timer is pending. */
  allowExit(): void {
    this.timer.unref();
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
    clearImmediate(this.immediate);
  }
}
