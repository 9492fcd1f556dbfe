import type {Either} from 'purify-ts';
import {
  type Clock,
  computeDeadline,
  type TaskRef,
  type TaskStanding,
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

/** Opens a session; undefined when the agent did not welcome this entry. */
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

/** Asks what became of tasks, in their order; undefined when there was no whole answer. */
export async function queryTasks(
  peer: Peer,
  refs: readonly TaskRef[],
  clock: Clock,
): Promise<readonly TaskStanding[] | undefined> {
  const tasks = refs.map(({job, task}) => ({job, task}));
  const deadline = computeDeadline(clock.now(), queryTimeoutMs);
  const reply = await peer.request('agent.query', {tasks}, deadline);
  const standings = reply.toMaybe().extract()?.standings;
  return standings?.length === refs.length ? standings : undefined;
}

/** Fences epochs and takes each page in turn; returns the last one, or undefined when one did not come. */
export async function fetchFenced(
  peer: Peer,
  fence: Omit<FenceParams, 'after'>,
  clock: Clock,
  take: (page: FenceResult) => void,
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
    take(page);
    if (page.next === undefined) return page;
    after = page.next;
  }
}
