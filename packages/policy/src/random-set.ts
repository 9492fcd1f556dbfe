import type {RandomSource} from './random.js';

/** A set with random selection, insertion and removal in O(1). */
export class RandomSet<Member> {
  private readonly members: Member[] = [];
  private readonly positions = new Map<Member, number>();

  get size(): number {
    return this.members.length;
  }

  /** Adds the member if `present`, otherwise removes it. */
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

  /** Returns a random member; `undefined` when the set is empty. */
  pick(random: RandomSource): Member | undefined {
    if (this.members.length === 0) return undefined;
    return this.members[random.drawInt(this.members.length)];
  }
}
