import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  createFirstEntry,
  createMembers,
  defaultBounds,
  type Effect,
  type Input,
  type LogEntry,
  type Message,
  Replica,
  type ReplicaTiming,
} from '#consensus';

export const timing: ReplicaTiming = {
  heartbeatIntervalMs: 20,
  electionTimeoutMs: 100,
  clockMarginMs: 10,
};

export const makeBlank = (index: number, term: number): LogEntry => ({
  kind: 'blank',
  index,
  term,
});

type Kind = Effect['kind'];
type EffectOf<One extends Kind> = Extract<Effect, {kind: One}>;

/** Test harness for replica `a` of the voters a, b and c; the other two are not run. */
export class ReplicaHarness {
  now = 0;
  effects: Effect[] = [];
  /** Whether `persist` effects are synced at once. */
  autoSync = true;
  readonly replica: Replica;

  constructor(term = 0, ...entries: LogEntry[]) {
    const members = createMembers(
      ['a', 'b', 'c'].map(id => ({id, address: id})),
    );
    this.replica = new Replica(
      {id: 'a', timing, bounds: defaultBounds, random: xoroshiro128plus(1)},
      {hardState: {term}, entries: [createFirstEntry(members), ...entries]},
      this.now,
    );
  }

  /** Processes an input and the syncs it causes; returns the effects of this call. */
  step(input: Input): readonly Effect[] {
    this.effects = [];
    this.run(input);
    return this.effects;
  }

  receive(from: string, message: Message): readonly Effect[] {
    return this.step({kind: 'message', from, message});
  }

  /** Advances the time, with a tick whenever one is due. */
  advanceTime(ms: number): readonly Effect[] {
    this.effects = [];
    const end = this.now + ms;
    while (this.replica.wakeAt <= end) {
      this.now = Math.max(this.now, this.replica.wakeAt);
      this.run({kind: 'tick'});
    }
    this.now = end;
    return this.effects;
  }

  /** Makes the replica leader of its next term with the votes of b. */
  startLeading(): void {
    this.now = this.replica.wakeAt;
    this.step({kind: 'tick'});
    const term = this.status.term + 1;
    const granted = {kind: 'vote-reply', term, granted: true} as const;
    this.receive('b', {...granted, preliminary: true});
    this.receive('b', {...granted, preliminary: false});
  }

  /** Has b acknowledge the log up to an index, in the latest round. */
  accept(matchIndex = this.status.lastIndex): readonly Effect[] {
    const {term} = this.status;
    const round = this.lastRound;
    return this.receive('b', {
      kind: 'append-accepted',
      term,
      round,
      matchIndex,
    });
  }

  get status() {
    return this.replica.describeStatus();
  }

  find<One extends Kind>(kind: One): readonly EffectOf<One>[] {
    return this.effects.filter(
      effect => effect.kind === kind,
    ) as EffectOf<One>[];
  }

  get sent(): readonly Message[] {
    return this.find('send').map(effect => effect.message);
  }

  private lastRound = 0;

  private run(input: Input): void {
    for (const effect of this.replica.step(input, this.now)) {
      this.effects.push(effect);
      if (effect.kind === 'send' && 'round' in effect.message) {
        this.lastRound = effect.message.round;
      }
      if (effect.kind !== 'persist' || !this.autoSync) continue;
      this.run({kind: 'synced', sequence: effect.sequence});
    }
  }
}
