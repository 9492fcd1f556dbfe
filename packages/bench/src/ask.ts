import {type Address, monotonicClock} from '#model';
import {
  dialPeer,
  type ParamsOf,
  type RequestName,
  type ResultOf,
} from '#protocol';

const requestTimeoutMs = 1000;

/** Sends one request over a new connection; undefined when no result arrives within 1 s. */
export async function askPeer<Name extends RequestName>(
  address: Address,
  method: Name,
  params: ParamsOf<Name>,
): Promise<ResultOf<Name> | undefined> {
  const deadline = monotonicClock.now() + requestTimeoutMs;
  const dialled = await dialPeer(address, {}, deadline);
  if (dialled.isLeft()) return undefined;
  const peer = dialled.unsafeCoerce();
  const reply = await peer.request(method, params, deadline);
  peer.close('asked');
  return reply.toMaybe().extract();
}
