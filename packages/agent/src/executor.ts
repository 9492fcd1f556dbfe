import type {Pool} from 'undici';
import {failUnreachable} from '#model';
import {interpretResponse} from './response.js';
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
 * A back end that runs one task per HTTP request and offers no way to stop it: a
 * cancelled task keeps its slot until it ends, for at most `maxTaskMs` after the
 * cancellation.
 */
export class Executor implements Target {
  private readonly pool: Pool;

  /** `responseTimeoutMs` is the longest silence on a connection before the request fails. */
  constructor(url: string, maxConnections: number, responseTimeoutMs: number) {
    this.pool = openPool(url, maxConnections, responseTimeoutMs);
  }

  async run(request: RunRequest, signal: AbortSignal): Promise<RunOutcome> {
    const {job, task, payload, maxTaskMs} = request;
    const close = new AbortController();
    let limitTimer: NodeJS.Timeout | undefined;
    const onAbort = () => {
      if (!isCancelled(signal)) close.abort();
      else limitTimer = setTimeout(() => close.abort(), maxTaskMs);
    };
    const sending = sendRequest(this.pool, {
      method: 'POST',
      path: '/run',
      body: {job, task, payload},
      signal,
      closeSignal: close.signal,
      maxBytes: maxResultBytes,
    });
    // The abort listener of the request must run before this one, which closes
    // the exchange.
    signal.addEventListener('abort', onAbort, {once: true});
    if (signal.aborted) onAbort();
    const outcome = await sending;
    signal.removeEventListener('abort', onAbort);
    if (outcome.kind === 'aborted') {
      void outcome.ended.then(() => clearTimeout(limitTimer));
    }
    switch (outcome.kind) {
      case 'answered':
        return interpretResponse(outcome.status, outcome.body);
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
