import type {Address, ControlId} from '#model';
import type {ReplicaStatus} from '#consensus';
import type {CommandResult} from '#membership';
import type {ProposeResult, ReadResult} from '#storage';
import type {ControlMachine} from './state-machine.js';
import type {Replica} from './replica.js';

/** Creates a single-member group that stores no log, for tests of the layers above consensus. */
export function createInMemoryReplica(
  id: ControlId,
  address: Address,
  machine: ControlMachine,
): Replica {
  const term = 1;
  let index = 0;
  return {
    propose: async command => {
      const [result] = machine.apply([{index: ++index, term, command}]);
      return {kind: 'committed', index, result} as ProposeResult<CommandResult>;
    },
    confirmRead: async (): Promise<ReadResult> => ({kind: 'confirmed', index}),
    receive: () => {},
    changeMembers: async () => ({kind: 'refused', reason: 'not-ready'}),
    transferLeadership: async () => false,
    describeStatus: (): ReplicaStatus => ({
      id,
      role: 'leader',
      term,
      leader: id,
      lastIndex: index,
      commitIndex: index,
      isCurrent: true,
      currentUntil: Infinity,
      members: [{id, address, voter: true}],
      progress: [
        {id, voter: true, matchIndex: index, caughtUp: true, heardAt: Infinity},
      ],
    }),
    [Symbol.asyncDispose]: async () => {},
  };
}
