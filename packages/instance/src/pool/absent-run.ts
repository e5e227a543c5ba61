import type { EngineRun } from '@guavaspindle/kernel/engine/engine-run';

declare const absence: unique symbol;

/**
 * A run that an answer of the server proves to be over although it lists no end of it. Made by
 * `listAbsentRuns` only.
 */
export type AbsentRun = EngineRun & { readonly [absence]: true };
