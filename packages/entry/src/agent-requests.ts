import type {Either} from 'purify-ts';
import {
  type Clock,
  computeDeadline,
  type TaskRef,
  type TaskStatus,
} from '#model';
import type {
  FenceParams,
  FenceResult,
  HelloParams,
  HelloResult,
  Peer,
  RpcFailure,
} from '#protocol';

const helloTimeoutMs = 3000;
const queryTimeoutMs = 5000;

/** Opens a session with an agent; undefined when the agent rejects it or does not answer. */
export async function openSession(
  peer: Peer,
  hello: HelloParams,
  clock: Clock,
): Promise<Extract<HelloResult, {kind: 'welcome'}> | undefined> {
  const deadline = computeDeadline(clock.now(), helloTimeoutMs);
  const reply = await peer.request('agent.hello', hello, deadline);
  const result = reply.toMaybe().extract();
  return result?.kind === 'welcome' ? result : undefined;
}

/**
 * Queries the state of tasks, in the order of `refs`; undefined unless the agent reports on all of
 * them.
 */
export async function queryTasks(
  peer: Peer,
  refs: readonly TaskRef[],
  clock: Clock,
): Promise<readonly TaskStatus[] | undefined> {
  const tasks = refs.map(({job, task}) => ({job, task}));
  const deadline = computeDeadline(clock.now(), queryTimeoutMs);
  const reply = await peer.request('agent.query', {tasks}, deadline);
  const statuses = reply.toMaybe().extract()?.standings;
  return statuses?.length === refs.length ? statuses : undefined;
}

/**
 * Fences epochs and passes each page of their tasks to `onPage`; returns the last page, or
 * undefined when a request failed.
 */
export async function fetchFencedTasks(
  peer: Peer,
  fence: Omit<FenceParams, 'after'>,
  clock: Clock,
  onPage: (page: FenceResult) => void,
): Promise<FenceResult | undefined> {
  let after: number | undefined = 0;
  for (;;) {
    const reply: Either<RpcFailure, FenceResult> = await peer.request(
      'agent.fence',
      {...fence, after},
      computeDeadline(clock.now(), queryTimeoutMs),
    );
    const page = reply.toMaybe().extract();
    if (page === undefined) return undefined;
    onPage(page);
    if (page.next === undefined) return page;
    after = page.next;
  }
}
