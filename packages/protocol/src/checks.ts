import {type Either, Left} from 'purify-ts';
import {
  array,
  boolean,
  Codec,
  exactly,
  number,
  oneOf,
  optional,
  record,
  string,
  unknown,
} from 'purify-ts/Codec';
import type {MethodName, ParamsOf} from './methods.js';
import {count, nonNegative} from './number-codecs.js';
import {roomCapacity, runBatch, runReport} from './runner-codecs.js';

/** Validates parameters from the wire: returns the value, or describes the invalid part. */
export type Check<Checked> = (input: unknown) => Either<string, Checked>;

const empty = Codec.interface({});
const taskRef = {job: string, task: count};
const location = Codec.interface({
  site: string,
  region: string,
  failureDomain: string,
  rack: string,
});
const capacity = oneOf([
  Codec.interface({
    kind: exactly('executor'),
    slots: count,
    maxConnections: count,
  }),
  Codec.interface({
    kind: exactly('worker'),
    cores: number,
    memoryMb: number,
    accelerators: count,
  }),
  roomCapacity,
]);
const target = Codec.interface({
  target: string,
  incarnation: count,
  service: string,
  address: string,
  place: location,
  capacity,
  life: optional(count),
  leaving: boolean,
});
const entryInfo = Codec.interface({
  entry: string,
  epoch: count,
  address: string,
  place: location,
});
const endedEpoch = Codec.interface({
  entry: string,
  epoch: count,
  heir: optional(count),
});
const source = Codec.interface({
  base: string,
  overlays: record(string, string),
  origin: optional(Codec.interface({version: count, document: string})),
});
const versionedSource = Codec.interface({
  version: count,
  changeId: string,
  author: string,
  source,
});
const taskRefusal = exactly(
  'no-slot',
  'draining',
  'fenced',
  'expired',
  'cancelled',
  'wrong-service',
  'too-large',
  'target-down',
);
const taskResult = oneOf([
  Codec.interface({kind: exactly('succeeded'), result: unknown}),
  Codec.interface({kind: exactly('failed'), detail: string}),
  Codec.interface({kind: exactly('cancelled')}),
  Codec.interface({kind: exactly('unknown'), detail: string}),
  Codec.interface({kind: exactly('not-run'), reason: taskRefusal}),
]);
const startTask = Codec.interface({
  ...taskRef,
  service: optional(string),
  payload: unknown,
  remainingMs: nonNegative,
  keepMs: nonNegative,
  granted: boolean,
});
const taskReport = Codec.interface({
  ...taskRef,
  fate: taskResult,
  runMs: nonNegative,
});
const taskSpec = Codec.interface({
  payload: unknown,
  expectedMs: optional(nonNegative),
});
const submission = Codec.interface({
  job: string,
  team: string,
  service: string,
  digest: string,
  unrepeatable: boolean,
  tasks: array(taskSpec),
});
const admission = Codec.interface({
  job: string,
  digest: string,
  epoch: count,
  tasks: count,
  unrepeatable: boolean,
  ticket: count,
  startMs: nonNegative,
  keepMs: nonNegative,
});
const goneTarget = Codec.interface({
  target: string,
  incarnation: count,
  revision: count,
});
const viewChange = oneOf([
  Codec.interface({kind: exactly('target-joined'), target}),
  Codec.interface({kind: exactly('target-gone'), gone: goneTarget}),
  Codec.interface({kind: exactly('gone-forgotten'), untilRevision: count}),
  Codec.interface({kind: exactly('entry-opened'), entry: entryInfo}),
  Codec.interface({kind: exactly('epoch-ended'), ended: endedEpoch}),
  Codec.interface({kind: exactly('epoch-forgotten'), epoch: count}),
  Codec.interface({
    kind: exactly('configured'),
    configuration: versionedSource,
  }),
  Codec.interface({kind: exactly('domain-evacuated'), domain: string}),
  Codec.interface({kind: exactly('domain-restored'), domain: string}),
]);
const viewUpdate = oneOf([
  Codec.interface({
    kind: exactly('full'),
    revision: count,
    view: Codec.interface({
      targets: array(target),
      gone: array(goneTarget),
      entries: array(entryInfo),
      ended: array(endedEpoch),
      configuration: versionedSource,
      evacuated: optional(array(string)),
    }),
  }),
  Codec.interface({
    kind: exactly('delta'),
    from: count,
    revision: count,
    changes: array(viewChange),
  }),
]);
const slots = Codec.interface({slots: count});
const tasks = Codec.interface({tasks: array(Codec.interface(taskRef))});
const job = Codec.interface({job: string, forwarded: optional(boolean)});
const entryEpoch = {entry: string, epoch: count};

/** Uses only the decoder of a codec, so that it also fits read-only parameter types. */
function toCheck<Checked>(codec: {
  readonly decode: (input: unknown) => Either<string, Checked>;
}): Check<Checked> {
  return input => codec.decode(input);
}

const queuedJob = Codec.interface({
  id: string,
  payload: string,
  steps: array(
    Codec.interface({
      count,
      demand: Codec.interface({
        cpuMillis: number,
        memoryMb: number,
        accelerators: number,
      }),
      estimateMs: nonNegative,
      after: array(count),
      requiredLabel: optional(string),
      dataRack: optional(string),
      maxPerTarget: optional(number),
      checkpoints: boolean,
    }),
  ),
});
const queueConfig = Codec.interface({
  name: string,
  service: string,
  host: string,
  path: string,
  priority: number,
  maxAttempts: count,
  timeoutMs: nonNegative,
  objective: Codec.interface({stretch: number, slackMs: nonNegative}),
  lateJobs: optional(exactly('serve', 'avoid')),
  urgentRuns: optional(exactly('wait', 'return')),
});

const checks: {readonly [Name in MethodName]: Check<ParamsOf<Name>>} = {
  'agent.hello': toCheck(Codec.interface({...entryEpoch, connection: count})),
  'agent.query': toCheck(tasks),
  'agent.fence': toCheck(
    Codec.interface({epochs: array(count), heir: count, after: count}),
  ),
  'agent.drain': toCheck(Codec.interface({remainingMs: nonNegative})),
  'agent.status': toCheck(empty),
  'agent.start': toCheck(
    Codec.interface({tasks: array(startTask), waiting: count}),
  ),
  'agent.reserve': toCheck(slots),
  'agent.release': toCheck(slots),
  'agent.demand': toCheck(Codec.interface({waiting: count})),
  'agent.cancel': toCheck(tasks),
  'entry.attach': toCheck(
    Codec.interface({
      submission,
      remainingMs: nonNegative,
      forwarded: optional(boolean),
    }),
  ),
  'entry.cancel': toCheck(job),
  'entry.peek': toCheck(job),
  'entry.grant': toCheck(slots),
  'entry.recall': toCheck(slots),
  'entry.report': toCheck(
    Codec.interface({tasks: array(taskReport), slots: count}),
  ),
  'control.openEntry': toCheck(
    Codec.interface({
      entry: string,
      nonce: optional(string),
      address: string,
      place: location,
    }),
  ),
  'control.renewEntry': toCheck(
    Codec.interface({
      ...entryEpoch,
      configVersion: count,
      demands: optional(record(string, count)),
    }),
  ),
  'control.closeEntry': toCheck(Codec.interface(entryEpoch)),
  'control.announce': toCheck(Codec.interface({target, configVersion: count})),
  'control.renewTarget': toCheck(
    Codec.interface({
      target: string,
      incarnation: count,
      configVersion: count,
    }),
  ),
  'control.withdraw': toCheck(
    Codec.interface({target: string, incarnation: count}),
  ),
  'control.admit': toCheck(Codec.interface({admissions: array(admission)})),
  'control.cancelJobs': toCheck(Codec.interface({jobs: array(string)})),
  'control.lookup': toCheck(Codec.interface({jobs: array(string)})),
  'control.epochJobs': toCheck(Codec.interface({epochs: array(count)})),
  'control.watch': toCheck(
    Codec.interface({
      since: count,
      topics: exactly('all', 'configuration', 'targets'),
    }),
  ),
  'control.applyConfig': toCheck(
    Codec.interface({
      changeId: string,
      expectedVersion: count,
      author: string,
      source,
      forwarded: optional(boolean),
    }),
  ),
  'control.reportRegion': toCheck(
    Codec.interface({
      region: string,
      version: count,
      lowest: count,
      highest: count,
      processes: count,
      silent: count,
      lagging: array(string),
    }),
  ),
  'control.readConfig': toCheck(empty),
  'control.configStatus': toCheck(empty),
  'control.setEvacuation': toCheck(
    Codec.interface({
      domain: string,
      evacuated: boolean,
      changeId: optional(string),
    }),
  ),
  'control.readEvacuations': toCheck(empty),
  'control.changeMembers': toCheck(
    Codec.interface({
      change: exactly('add-learner', 'promote', 'remove'),
      member: string,
      address: optional(string),
    }),
  ),
  'runner.attach': toCheck(
    Codec.interface({dispatcher: string, life: count, tickets: array(count)}),
  ),
  'runner.clear': toCheck(
    Codec.interface({
      job: string,
      dispatcher: optional(string),
      life: optional(count),
    }),
  ),
  'runner.place': toCheck(Codec.interface({batches: array(runBatch)})),
  'runner.withdraw': toCheck(
    Codec.interface({tickets: array(count), waitingOnly: optional(boolean)}),
  ),
  'runner.permit': toCheck(Codec.interface({question: count})),
  'dispatcher.claim': toCheck(
    Codec.interface({
      job: string,
      claimant: string,
      claimantLife: optional(count),
      replaces: optional(string),
      replacesLife: optional(count),
      service: string,
      isQuery: optional(boolean),
    }),
  ),
  'dispatcher.relay': toCheck(
    Codec.interface({
      job: queuedJob,
      queue: queueConfig,
      ageMs: nonNegative,
      remainingMs: nonNegative,
      knowsCancelled: optional(boolean),
    }),
  ),
  'dispatcher.cancel': toCheck(
    Codec.interface({job: string, service: string, remainingMs: nonNegative}),
  ),
  'dispatcher.abandon': toCheck(Codec.interface({job: string})),
  'dispatcher.follow': toCheck(
    Codec.interface({job: string, remainingMs: nonNegative}),
  ),
  'dispatcher.report': toCheck(runReport),
  'control.enrol': toCheck(Codec.interface({member: string, address: string})),
  'control.status': toCheck(empty),
  'control.replicate': toCheck(
    Codec.interface({from: string, message: unknown}),
  ),
  'watcher.update': toCheck(viewUpdate),
  'watcher.controls': toCheck(Codec.interface({controls: array(string)})),
  'peer.sync': toCheck(empty),
};

/** Validates a method's parameters; an error states the invalid part and what was expected. */
export function checkParams<Name extends MethodName>(
  method: Name,
  params: unknown,
): Either<string, ParamsOf<Name>> {
  const check: Check<ParamsOf<Name>> = checks[method];
  try {
    return check(params ?? {});
  } catch (error) {
    // The error text quotes the invalid part; if that is nested too deeply, quoting it overflows the stack.
    if (!(error instanceof RangeError)) throw error;
    return Left('a part of another kind is nested too deeply');
  }
}
