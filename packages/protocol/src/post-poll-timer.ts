/**
 * A timer for what is missing: it acts only once what has arrived by the time that it is due was read.
 * The event loop runs due timers before it reads, so that after a long turn a plain timer would take for
 * missing what lies in the socket.
 */
export class PatientTimer implements Disposable {
  private readonly timer: NodeJS.Timeout;
  private reading: NodeJS.Immediate | undefined;

  constructor(ms: number, act: () => void) {
    this.timer = setTimeout(() => {
      this.reading = setImmediate(act);
    }, ms);
  }

  /** Lets the process end while it waits. */
  allowExit(): void {
    this.timer.unref();
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
    clearImmediate(this.reading);
  }
}
