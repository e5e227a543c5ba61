/** A binary heap that returns the item with the lowest key first. */
export class MinHeap<Item> {
  private readonly items: Item[] = [];

  constructor(private readonly readKey: (item: Item) => number) {}

  /** Number of items. */
  get size(): number {
    return this.items.length;
  }

  /** Returns the item with the lowest key without removing it. */
  peekItem(): Item | undefined {
    return this.items[0];
  }

  /** Adds an item. Its key must not increase while it is in the heap. */
  pushItem(item: Item): void {
    this.items.push(item);
    this.moveUp(this.items.length - 1);
  }

  /** Removes and returns the item with the lowest key. */
  popItem(): Item | undefined {
    const first = this.items[0];
    const last = this.items.pop();
    if (this.items.length > 0 && last !== undefined) {
      this.items[0] = last;
      this.moveDown(0);
    }
    return first;
  }

  private moveUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (this.readKey(this.items[parent]!) <= this.readKey(this.items[index]!)) {
        return;
      }
      this.swapItems(parent, index);
      index = parent;
    }
  }

  private moveDown(start: number): void {
    let index = start;
    for (;;) {
      const child = this.findLowerChild(index);
      if (child === undefined) {
        return;
      }
      if (this.readKey(this.items[child]!) >= this.readKey(this.items[index]!)) {
        return;
      }
      this.swapItems(child, index);
      index = child;
    }
  }

  private findLowerChild(index: number): number | undefined {
    const left = index * 2 + 1;
    const right = left + 1;
    if (left >= this.items.length) {
      return undefined;
    }
    if (right >= this.items.length) {
      return left;
    }
    return this.readKey(this.items[right]!) < this.readKey(this.items[left]!) ? right : left;
  }

  private swapItems(a: number, b: number): void {
    const item = this.items[a]!;
    this.items[a] = this.items[b]!;
    this.items[b] = item;
  }
}
