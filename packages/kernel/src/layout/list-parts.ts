import type { PartId } from '../ids/part-id';
import type { PoolLayout } from './pool-layout';
import type { PoolPart } from './pool-part';

const SINGLE_PART: PoolPart = {
  id: 'all' as PartId,
  domain: undefined,
  index: 0,
  fromPosition: 0,
  toPosition: Infinity,
};

/** Lists the parts of a layout. The id changes when the number of parts of the domain does. */
export function listParts(layout: PoolLayout): readonly PoolPart[] {
  if (layout.size === 0) {
    return [SINGLE_PART];
  }
  return [...layout].flatMap(([domain, boundaries]) =>
    [0, ...boundaries].map((fromPosition, index) => ({
      id: `${domain}.${index}-of-${boundaries.length + 1}` as PartId,
      domain,
      index,
      fromPosition,
      toPosition: boundaries[index] ?? Infinity,
    })),
  );
}
