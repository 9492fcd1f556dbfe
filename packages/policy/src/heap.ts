/** An element of a heap. Only the heap writes its position. */
export interface HeapElement {
  /** -1 while the element is in no heap. */
  position: number;
}

/** A binary heap that can remove or reorder any element in O(log n). */
export class Heap<Element extends HeapElement> {
  private readonly elements: Element[] = [];

  /** `compare` returns a negative number when its first argument comes first. */
  constructor(
    private readonly compare: (one: Element, other: Element) => number,
  ) {}

  get size(): number {
    return this.elements.length;
  }

  /** Returns the first element without removing it. */
  peek(): Element | undefined {
    return this.elements[0];
  }

  push(element: Element): void {
    this.put(element, this.elements.length);
    this.moveUp(element);
  }

  /** Removes an element, which must be in this heap. */
  remove(element: Element): void {
    const {position} = element;
    const last = this.elements.pop()!;
    element.position = -1;
    if (last === element) return;
    this.put(last, position);
    this.update(last);
  }

  /** Restores the heap order after an element of this heap has changed. */
  update(element: Element): void {
    this.moveUp(element);
    this.moveDown(element);
  }

  /** Lists the elements, in no particular order. */
  list(): readonly Element[] {
    return this.elements;
  }

  private moveUp(element: Element): void {
    while (element.position > 0) {
      const parent = this.elements[(element.position - 1) >> 1]!;
      if (this.compare(element, parent) >= 0) return;
      this.exchange(element, parent);
    }
  }

  private moveDown(element: Element): void {
    for (;;) {
      const child = this.selectChild(element.position);
      if (child === undefined || this.compare(child, element) >= 0) return;
      this.exchange(element, child);
    }
  }

  private selectChild(position: number): Element | undefined {
    const left = this.elements[2 * position + 1];
    const right = this.elements[2 * position + 2];
    if (left === undefined || right === undefined) return left;
    return this.compare(left, right) <= 0 ? left : right;
  }

  private exchange(a: Element, b: Element): void {
    const {position} = a;
    this.put(a, b.position);
    this.put(b, position);
  }

  private put(element: Element, position: number): void {
    this.elements[position] = element;
    element.position = position;
  }
}
