import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import { isLikelyLeader } from '../src/lead/is-likely-leader';

const NEAR = 'near' as DomainName;
const FAR = 'far' as DomainName;

describe('isLikelyLeader', () => {
  it.each([
    ['an instance alone', 0.3, [], true],
    [
      'one of equals',
      0.7,
      [
        [NEAR, 0.7],
        [NEAR, 0.7],
        [NEAR, 0.7],
      ],
      true,
    ],
    [
      'a small instance beside one large one',
      0.3,
      [
        [NEAR, 1.4],
        [NEAR, 0.3],
      ],
      true,
    ],
    [
      'a small instance beside two large ones',
      0.3,
      [
        [NEAR, 1.4],
        [NEAR, 1.4],
      ],
      false,
    ],
    [
      'a small instance beside large ones of another domain',
      0.3,
      [
        [FAR, 1.4],
        [FAR, 1.4],
      ],
      true,
    ],
    [
      'a large instance beside small ones',
      1.4,
      [
        [NEAR, 0.3],
        [NEAR, 0.3],
      ],
      true,
    ],
  ] as const)('judges %s', (_name, cores, others, expected) => {
    const listed = others.map(([domain, otherCores]) => ({ domain, cores: otherCores }));
    expect(isLikelyLeader({ domain: NEAR, cores }, listed)).toBe(expected);
  });
});
