/** Builds the last response of a connection, as it is sent, to something that cannot be handled. */
export function buildErrorResponse(status: string): string {
  return `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
}
