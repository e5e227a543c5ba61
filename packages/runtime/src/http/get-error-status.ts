const BAD_REQUEST = '400 Bad Request';

/** Statuses by the codes of the errors that node's HTTP server reports; all others are bad requests. */
const STATUS_BY_CODE: ReadonlyMap<string | undefined, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', '413 Payload Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/** Returns the status with which bytes are answered that node cannot read as a request. */
export function getErrorStatus(error: Error): string {
  return STATUS_BY_CODE.get((error as NodeJS.ErrnoException).code) ?? BAD_REQUEST;
}
