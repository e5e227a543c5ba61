/** Size of a job within its queue: the largest tenth, the fifth below, or the rest. */
export type SizeClass = 'largest' | 'next' | 'rest';
