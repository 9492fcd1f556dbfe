import type {Either} from 'purify-ts';
import type {Instant} from '#model';
import type {
  ControlReply,
  ParamsOf,
  RequestName,
  ResultOf,
  RpcFailure,
} from '#protocol';

/** The requests that a control group's leader answers. */
export type ControlRequest = {
  [Name in RequestName]: ResultOf<Name> extends ControlReply<unknown>
    ? Name
    : never;
}[RequestName];

/** What is left of a reply once the leader was found. */
export type ControlValue<Name extends ControlRequest> =
  ResultOf<Name> extends ControlReply<infer Value> ? Value : never;

/** Asks the control group's leader, wherever it is, until the deadline. */
export interface ControlPort {
  request<Name extends ControlRequest>(
    method: Name,
    params: ParamsOf<Name>,
    deadline: Instant,
  ): Promise<Either<RpcFailure, ControlValue<Name>>>;
}
