/** Layout of an HTTP/2 ping's payload: the first of its eight bytes holds the flags. */
export const pingBits = { payloadBytes: 8, idle: 1, reportNeeded: 2 } as const;
