/** Delay after which a refused caller may come again, in seconds. */
const RETRY_AFTER_S = 1;

/**
 * Builds the response, as it is sent over a connection, to requests that the server refuses because it shuts
 * down.
 *
 * @param content - the body, before it is written as JSON
 */
export function buildClosingRefusal(
  content: object = { error: 'shutdown' },
  contentType = 'application/json',
): string {
  const body = JSON.stringify(content);
  return [
    'HTTP/1.1 503 Service Unavailable',
    'connection: close',
    `retry-after: ${RETRY_AFTER_S}`,
    `content-type: ${contentType}`,
    `content-length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ].join('\r\n');
}
