/** Emitter of operating system signals: `process`, or a stand-in in tests. */
export interface SignalSource {
  readonly on: (signal: StopSignal, listener: () => void) => unknown;
  readonly off: (signal: StopSignal, listener: () => void) => unknown;
}

export type StopSignal = 'SIGTERM' | 'SIGINT';

/** The two stages of a graceful stop; disposing removes the signal listeners. */
export interface StopSignals extends Disposable {
  readonly drain: AbortSignal;
  readonly halt: AbortSignal;
}

const stopSignals: readonly StopSignal[] = ['SIGTERM', 'SIGINT'];

/** Aborts `drain` on the first signal, and `halt` on the second one or `drainMs` after the first. */
export function watchStopSignals(
  source: SignalSource,
  drainMs: number,
  onStop: (signal: StopSignal) => void = () => {},
): StopSignals {
  const drain = new AbortController();
  const halt = new AbortController();
  let timer: NodeJS.Timeout | undefined;
  const handleSignal = (signal: StopSignal) => {
    onStop(signal);
    if (drain.signal.aborted) return halt.abort();
    timer = setTimeout(() => halt.abort(), drainMs);
    timer.unref();
    drain.abort();
  };
  const listeners = stopSignals.map(signal => ({
    signal,
    listener: () => handleSignal(signal),
  }));
  for (const {signal, listener} of listeners) source.on(signal, listener);
  return {
    drain: drain.signal,
    halt: halt.signal,
    [Symbol.dispose]: () => {
      clearTimeout(timer);
      for (const {signal, listener} of listeners) source.off(signal, listener);
    },
  };
}
