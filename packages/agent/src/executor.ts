import type {Pool} from 'undici';
import {failUnreachable} from '#model';
import {interpretAnswer} from './answer.js';
import {openPool, sendRequest} from './http.js';
import {
  maxResultBytes,
  type RunOutcome,
  type RunRequest,
  type Target,
} from './target.js';

const healthTimeoutMs = 2000;

/** A back end that runs one task for each HTTP request. */
export class Executor implements Target {
  private readonly pool: Pool;

  /** `answerTimeoutMs` bounds the silence of a connection that the agent has not given up itself. */
  constructor(url: string, maxConnections: number, answerTimeoutMs: number) {
    this.pool = openPool(url, maxConnections, answerTimeoutMs);
  }

  async run(request: RunRequest, signal: AbortSignal): Promise<RunOutcome> {
    const {job, task, payload} = request;
    const outcome = await sendRequest(this.pool, {
      method: 'POST',
      path: '/run',
      body: {job, task, payload},
      signal,
      maxBytes: maxResultBytes,
    });
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
        return {kind: 'stopped'};
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
