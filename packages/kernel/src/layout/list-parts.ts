import type { PartId } from '../ids/part-id';
import type { PoolLayout } from './pool-layout';
import type { PoolPart } from './pool-part';

const SINGLE_PART: PoolPart = { id: 'all' as PartId, domain: undefined, index: 0, count: 1 };

/** Lists the parts of a layout. The id changes with the servers that a part consists of. */
export function listParts(layout: PoolLayout): readonly PoolPart[] {
  if (layout.size === 0) {
    return [SINGLE_PART];
  }
  return [...layout].flatMap(([domain, count]) =>
    Array.from({ length: count }, (_unused, index) => ({
      id: `${domain}.${index}-of-${count}` as PartId,
      domain,
      index,
      count,
    })),
  );
}
