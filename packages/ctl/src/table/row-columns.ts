/** The columns of the operators' table, in the order in which they are shown and read. */
export const rowColumns = [
  'rowId',
  'caller',
  'kind',
  'domain',
  'weight',
  'maxRunning',
  'startsPerSecond',
  'maxQueued',
  'deadlineMs',
] as const;
