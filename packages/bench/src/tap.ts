import {FrameReader} from '#protocol';

/** Counts the inner protocol's messages that pass through a proxy, by method. */
export class MessageTap {
  private readonly counts = new Map<string, number>();
  private refused = 0;
  private allMessages = 0;
  private allBytes = 0;

  /** Returns an observer for the chunks of one direction of one connection. */
  open(): (chunk: Buffer) => void {
    const reader = new FrameReader();
    let isProtocol = true;
    return chunk => {
      this.allBytes += chunk.length;
      if (!isProtocol) return;
      const messages = reader.readChunk(chunk);
      isProtocol = messages.isRight();
      for (const message of messages.orDefault([])) {
        this.countMessage(message as WireMessage);
      }
    };
  }

  /** The number of requests and notifications of a method; answers aren't included. */
  count(method: string): number {
    return this.counts.get(method) ?? 0;
  }

  /** Tasks that agents reported as not run. */
  get refusedTasks(): number {
    return this.refused;
  }

  /** Requests, answers and notifications. */
  get messages(): number {
    return this.allMessages;
  }

  get bytes(): number {
    return this.allBytes;
  }

  private countMessage({method, params}: WireMessage): void {
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

/** Messages between entries and agents about slots; they carry neither tasks nor outcomes. */
const slotMessages = [
  'agent.reserve',
  'agent.release',
  'agent.demand',
  'entry.grant',
  'entry.recall',
] as const;

/** Counts the overhead of placement beyond starts and reports: slot messages and refused tasks. */
export function countPlacementOverhead(tap: MessageTap): number {
  const counts = slotMessages.map(method => tap.count(method));
  return counts.reduce((sum, count) => sum + count, tap.refusedTasks);
}
