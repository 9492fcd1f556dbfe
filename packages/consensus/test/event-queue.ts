interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs events by simulated time in ms; events at the same time run in the order added. */
export class EventQueue {
  now = 0;
  private heap: ScheduledEvent[] = [];
  private order = 0;

  add(delayMs: number, run: () => void): void {
    const {heap} = this;
    heap.push({at: this.now + delayMs, order: this.order++, run});
    let i = heap.length - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!isBefore(heap[i], heap[parent])) break;
      [heap[i], heap[parent]] = [heap[parent], heap[i]];
      i = parent;
    }
  }

  runUntil(end: number): void {
    while (this.heap.length > 0 && this.heap[0].at <= end) {
      const next = this.take();
      this.now = next.at;
      next.run();
    }
    this.now = end;
  }

  private take(): ScheduledEvent {
    const {heap} = this;
    const first = heap[0];
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    heap[0] = last;
    let i = 0;
    for (;;) {
      let least = i;
      for (const child of [2 * i + 1, 2 * i + 2]) {
        if (child < heap.length && isBefore(heap[child], heap[least])) {
          least = child;
        }
      }
      if (least === i) return first;
      [heap[i], heap[least]] = [heap[least], heap[i]];
      i = least;
    }
  }
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
