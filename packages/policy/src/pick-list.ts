import type {RandomSource} from './random.js';

/** A set from which members are drawn at random in O(1). */
export class PickList<Member> {
  private readonly members: Member[] = [];
  private readonly positions = new Map<Member, number>();

  get size(): number {
    return this.members.length;
  }

  /** Adds or removes a member. */
  set(member: Member, present: boolean): void {
    const position = this.positions.get(member);
    if (present === (position !== undefined)) return;
    if (position === undefined) {
      this.positions.set(member, this.members.push(member) - 1);
      return;
    }
    const last = this.members.pop()!;
    this.positions.delete(member);
    if (last === member) return;
    this.members[position] = last;
    this.positions.set(last, position);
  }

  /** Draws a member; `undefined` when there is none. */
  pick(random: RandomSource): Member | undefined {
    if (this.members.length === 0) return undefined;
    return this.members[random.drawInt(this.members.length)];
  }
}
