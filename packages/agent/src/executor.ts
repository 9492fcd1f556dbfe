import type {Pool} from 'undici';
import {failUnreachable} from '#model';
import {interpretAnswer} from './answer.js';
import {openPool, sendRequest} from './http.js';
import type {StopCause} from './runner.js';
import {
  maxResultBytes,
  type RunOutcome,
  type RunRequest,
  type Target,
} from './target.js';

const healthTimeoutMs = 2000;

/**
 * A back end that runs one task for each HTTP request and cannot be told to stop
 * one: a cancelled task keeps its slot until the answer or its longest run time.
 */
export class Executor implements Target {
  private readonly pool: Pool;

  /** `answerTimeoutMs` bounds the silence of a connection that the agent has not given up itself. */
  constructor(url: string, maxConnections: number, answerTimeoutMs: number) {
    this.pool = openPool(url, maxConnections, answerTimeoutMs);
  }

  async run(request: RunRequest, signal: AbortSignal): Promise<RunOutcome> {
    const {job, task, payload, maxTaskMs} = request;
    const close = new AbortController();
    let limit: NodeJS.Timeout | undefined;
    const onAbort = () => {
      if (!isCancelled(signal)) close.abort();
      else limit = setTimeout(() => close.abort(), maxTaskMs);
    };
    const sending = sendRequest(this.pool, {
      method: 'POST',
      path: '/run',
      body: {job, task, payload},
      signal,
      closeSignal: close.signal,
      maxBytes: maxResultBytes,
    });
    // The request must know of an abort before its exchange closes.
    signal.addEventListener('abort', onAbort, {once: true});
    if (signal.aborted) onAbort();
    const outcome = await sending;
    signal.removeEventListener('abort', onAbort);
    if (outcome.kind === 'aborted') {
      void outcome.ended.then(() => clearTimeout(limit));
    }
    switch (outcome.kind) {
      case 'answered':
        return interpretAnswer(outcome.status, outcome.body);
      case 'unusable':
        return {kind: 'failed', detail: outcome.detail};
      case 'not-sent':
        return {kind: 'not-run', detail: outcome.detail};
      case 'broken':
        return {kind: 'unknown', detail: outcome.detail};
      case 'aborted':
        return {kind: 'stopped', released: outcome.ended};
      default:
        return failUnreachable(outcome);
    }
  }

  async checkHealth(): Promise<boolean> {
    const outcome = await sendRequest(this.pool, {
      method: 'GET',
      path: '/health',
      signal: AbortSignal.timeout(healthTimeoutMs),
      maxBytes: maxResultBytes,
    });
    return outcome.kind === 'answered' && outcome.status === 200;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.pool.destroy();
  }
}

function isCancelled(signal: AbortSignal): boolean {
  return (signal.reason as StopCause).kind === 'cancelled';
}
