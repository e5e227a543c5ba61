import type { JobLimits } from './job-limits';

/**
 * A leader keeps about half a kilobyte for a task and looks at each task in every scheduling pass, which has to end well
 * before the others take it for lost. Callers' largest jobs have some 1,300 tasks.
 */
export const defaultJobLimits: JobLimits = { maxJobItems: 10_000, maxOpenItems: 20_000 };
