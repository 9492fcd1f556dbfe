import test from 'ava';
import type {Dispatcher, Pool} from 'undici';
import {sendRequest} from '../src/http.js';

/** Makes a fake pool that passes the handler of each dispatched request to `runExchange`. */
function makeFakePool(
  runExchange: (handler: Dispatcher.DispatchHandler, aborts: string[]) => void,
) {
  const aborts: string[] = [];
  const dispatch = (_: unknown, handler: Dispatcher.DispatchHandler) =>
    runExchange(handler, aborts);
  return {pool: {dispatch} as unknown as Pool, aborts};
}

const makeController = (aborts: string[]) =>
  ({
    abort: (cause: Error) => void aborts.push(cause.message),
  }) as unknown as Dispatcher.DispatchController;

const request = {method: 'POST', path: '/run', maxBytes: 10} as const;

test('a request that is handed to a second connection is not written again', async t => {
  const {pool, aborts} = makeFakePool((handler, aborts) => {
    handler.onRequestStart!(makeController(aborts), {});
    t.deepEqual(aborts, []);
    handler.onRequestStart!(makeController(aborts), {});
    handler.onResponseError!(makeController(aborts), new Error('reset'));
  });
  const outcome = await sendRequest(pool, request);
  t.deepEqual(outcome, {kind: 'broken', detail: 'reset'});
  t.deepEqual(aborts, ['not sent again']);
});

test('a request aborted before it is written is never written', async t => {
  const abort = new AbortController();
  const {pool, aborts} = makeFakePool((handler, aborts) => {
    abort.abort();
    handler.onRequestStart!(makeController(aborts), {});
  });
  const outcome = await sendRequest(pool, {...request, signal: abort.signal});
  t.is(outcome.kind, 'not-sent');
  t.deepEqual(aborts, ['not sent again']);
});

test('a response over the size limit and a request body that JSON cannot encode are unusable', async t => {
  const {pool} = makeFakePool((handler, aborts) => {
    handler.onRequestStart!(makeController(aborts), {});
    handler.onResponseStart!(makeController(aborts), 200, {});
    handler.onResponseData!(makeController(aborts), Buffer.alloc(11));
  });
  t.is((await sendRequest(pool, request)).kind, 'unusable');
  t.is((await sendRequest(pool, {...request, body: 1n})).kind, 'unusable');
});
