import type {MemberChange} from '#consensus';
import type {Node} from './node.js';
import type {FaultProfile} from './profiles.js';
import {chooseChange, chooseRepair, type Replacement} from './replacement.js';

/** What a replacer needs from the simulation. */
export interface ReplacerContext {
  readonly faults: FaultProfile;
  readonly nodes: Map<string, Node>;
  readonly draw: (from: number, to: number) => number;
  readonly findLeader: () => Node | undefined;
  /** Starts a node with an empty disk; returns its id. */
  readonly addEmptyNode: () => string;
  readonly kill: (node: Node) => void;
  readonly restartAfter: (node: Node, delayMs: number) => void;
  readonly readClock: (node: Node) => number;
  readonly requestChange: (leader: Node, change: MemberChange) => void;
}

/** Replaces replicas one at a time: by an operator's changes, or by the group's own repair. */
export class Replacer {
  private replacement: Replacement | undefined;

  constructor(private readonly context: ReplacerContext) {}

  get isReplacing(): boolean {
    return this.replacement !== undefined;
  }

  /** Begins to replace a voter, which may lose its disk. */
  begin(): void {
    const {faults, nodes, draw, kill} = this.context;
    if (this.replacement) return;
    const leader = this.context.findLeader();
    const members = leader?.replica?.describeStatus().members ?? [];
    const voters = members.filter(member => member.voter);
    if (voters.length !== faults.replicas) return;
    const leaving = voters[draw(0, voters.length - 1)].id;
    const node = nodes.get(leaving)!;
    const isLost = draw(0, 1) === 0;
    if (isLost || faults.repair) kill(node);
    if (isLost) node.diskLost = true;
    else if (faults.repair) this.context.restartAfter(node, draw(50, 1000));
    const spare = members.find(({voter}) => !voter)?.id;
    const hasSpares = faults.repair && nodes.size > faults.replicas + 2;
    const joining =
      hasSpares && spare !== undefined ? spare : this.context.addEmptyNode();
    this.replacement = {leaving, joining, promoteFirst: draw(0, 1) === 0};
  }

  /** Requests the next membership change. */
  step(): void {
    const leader = this.context.findLeader();
    if (!leader) return;
    if (this.context.faults.repair) {
      this.stepRepair(leader);
      return;
    }
    if (!this.replacement) return;
    const {members} = leader.replica!.describeStatus();
    const change = chooseChange(this.replacement, members);
    if (change) this.context.requestChange(leader, change);
    else this.finish(this.replacement, leader);
  }

  /** Lets running replicas that are no members ask to be learners, and the leader repair the group. */
  private stepRepair(leader: Node): void {
    const {faults, nodes, readClock, requestChange} = this.context;
    const running = [...nodes.values()].filter(
      ({replica}) => replica !== undefined,
    );
    const change = chooseRepair(
      leader.replica!.describeStatus(),
      running.map(({id}) => id),
      faults.replicas,
      readClock(leader),
    );
    if (change) requestChange(leader, change);
    else if (this.replacement) this.finish(this.replacement, leader);
  }

  /** Ends the replacement once its changes are committed. */
  private finish({leaving, joining}: Replacement, leader: Node): void {
    const {faults, nodes} = this.context;
    const {members, commitIndex, lastIndex} = leader.replica!.describeStatus();
    const isMember = (id: string) => members.some(member => member.id === id);
    const isLost = nodes.get(leaving)?.diskLost === true;
    if (commitIndex !== lastIndex || !isMember(joining)) return;
    if ((isLost || !faults.repair) && isMember(leaving)) return;
    this.replacement = undefined;
    if (isLost) nodes.delete(leaving);
  }
}
