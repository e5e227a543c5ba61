/**
 * Layout of an HTTP/2 ping's payload: the first of its eight bytes holds the flags, the last four hold the number of
 * the last batch that needed a receipt and has been taken in.
 */
export const pingBits = { payloadBytes: 8, idle: 1, reportNeeded: 2, receiptOffset: 4 } as const;
