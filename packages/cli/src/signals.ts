/** What emits the signals of the system: `process`, or a test's emitter. */
export interface SignalSource {
  readonly on: (signal: StopSignal, listener: () => void) => unknown;
  readonly off: (signal: StopSignal, listener: () => void) => unknown;
}

export type StopSignal = 'SIGTERM' | 'SIGINT';

/** The two steps of an orderly stop. */
export interface StopSignals extends Disposable {
  readonly drain: AbortSignal;
  readonly halt: AbortSignal;
}

const stopSignals: readonly StopSignal[] = ['SIGTERM', 'SIGINT'];

/** The first signal asks for a drain; the second one, or `drainMs` after the first, for a halt. */
export function watchStopSignals(
  source: SignalSource,
  drainMs: number,
  onStop: (signal: StopSignal) => void = () => {},
): StopSignals {
  const drain = new AbortController();
  const halt = new AbortController();
  let timer: NodeJS.Timeout | undefined;
  const stop = (signal: StopSignal) => {
    onStop(signal);
    if (drain.signal.aborted) return halt.abort();
    timer = setTimeout(() => halt.abort(), drainMs);
    timer.unref();
    drain.abort();
  };
  const listeners = stopSignals.map(signal => ({
    signal,
    listener: () => stop(signal),
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
