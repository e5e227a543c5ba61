import type { FaultProxy } from '@guavaspindle/platform-adapter/stand-ins/fault-proxy';

/** Lets answers overtake each other on all paths that no other fault disturbs; returns what takes it back. */
export function beginOvertaking(paths: readonly FaultProxy[]): () => void {
  paths
    .filter(({ currentMode }) => currentMode === 'pass')
    .forEach((path) => path.setMode('overtaking'));
  return () =>
    paths
      .filter(({ currentMode }) => currentMode === 'overtaking')
      .forEach((path) => path.setMode('pass'));
}
