/** Reads the revision from an If-Match header such as "17"; undefined if it is of another form. */
export function parseIfMatch(header: string): number | undefined {
  const match = /^"(\d{1,15})"$/.exec(header.trim());
  return match === null ? undefined : Number(match[1]);
}
