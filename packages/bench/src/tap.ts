import {FrameReader} from '#protocol';

/** Counts the inner messages that cross a proxy, by method. */
export class MessageTap {
  private readonly counts = new Map<string, number>();
  private refused = 0;
  private allMessages = 0;
  private allBytes = 0;

  /** Returns what to call with the chunks of one connection's one way. */
  open(): (chunk: Buffer) => void {
    const reader = new FrameReader();
    let isProtocol = true;
    return chunk => {
      this.allBytes += chunk.length;
      if (!isProtocol) return;
      const messages = reader.readChunk(chunk);
      isProtocol = messages.isRight();
      for (const message of messages.orDefault([])) {
        this.note(message as WireMessage);
      }
    };
  }

  /** How often a method was called; answers are counted with their calls. */
  count(method: string): number {
    return this.counts.get(method) ?? 0;
  }

  /** Tasks that an agent sent back without having run them. */
  get refusedTasks(): number {
    return this.refused;
  }

  /** Calls, answers and notices. */
  get messages(): number {
    return this.allMessages;
  }

  get bytes(): number {
    return this.allBytes;
  }

  private note({method, params}: WireMessage): void {
    this.allMessages++;
    if (method === undefined) return;
    this.counts.set(method, this.count(method) + 1);
    if (method !== 'entry.report') return;
    const {tasks = []} = params as {readonly tasks?: readonly ReportedTask[]};
    this.refused += tasks.filter(({fate}) => fate.kind === 'not-run').length;
  }
}

interface WireMessage {
  readonly method?: string;
  readonly params?: unknown;
}

interface ReportedTask {
  readonly fate: {readonly kind: string};
}

/** Messages between entries and agents that carry no task and no fate of one. */
const slotMessages = [
  'agent.reserve',
  'agent.release',
  'agent.demand',
  'entry.grant',
  'entry.recall',
] as const;

/** Counts what placement cost in messages beyond starts and reports: slot messages and refused starts. */
export function countWasted(tap: MessageTap): number {
  const slots = slotMessages.map(method => tap.count(method));
  return slots.reduce((sum, count) => sum + count, tap.refusedTasks);
}
