import { connect, type Socket } from 'node:net';
import { ResponseParser } from '@guavaspindle/platform-adapter/http/response-parser';
import { waitForNextRead } from '@guavaspindle/runtime/http/wait-for-next-read';
import { pause } from '../pause';
import type { CallerRequest } from './caller-request';
import type { ExchangeResult } from './exchange-result';
import type { RequestRecord } from './request-record';

const HOST = 'jobs.example';
/** After the server's side has ended, a reset for an unread request has arrived within this time. */
const RESET_MS = 2;
const UNSENT = { kind: 'unsent' } as const;

/** Builds the status line and the header fields of a request. */
function buildHead({ method, path, body = '', deadlineMs, isLast }: CallerRequest): string {
  return [
    `${method} ${path} HTTP/1.1`,
    `host: ${HOST}`,
    `x-guavaspindle-deadline-ms: ${deadlineMs}`,
    ...(body === '' ? [] : ['content-type: application/json', `content-length: ${body.length}`]),
    ...(isLast ? ['connection: close'] : []),
    '\r\n',
  ].join('\r\n');
}

/** A connection that stays open between requests; the caller sends one request at a time. */
export class CallerConnection {
  private readonly socket: Socket;

  private readonly parser = new ResponseParser();

  private readonly connected: Promise<boolean>;

  private requestCount = 0;

  /** Whether the server allows another request. */
  private isReusable = true;

  /** Whether the server's side has ended. */
  private hasEnded = false;

  private endedAtMs = 0;

  private settle: ((result: ExchangeResult) => void) | undefined;

  constructor(readonly address: string) {
    const [host, port] = address.split(':');
    // Half-open, so that a write after the server's end shows whether the request was rejected.
    this.socket = connect({ host: host!, port: Number(port), allowHalfOpen: true, noDelay: true });
    this.connected = new Promise((resolve) => {
      this.socket.once('connect', () => resolve(true)).once('close', () => resolve(false));
    });
    this.socket.on('data', (bytes) => this.handleBytes(bytes));
    this.socket.on('end', () => this.handleEnd());
    this.socket.on('error', (error: NodeJS.ErrnoException) => this.handleError(error));
  }

  /** Whether another request may be sent. */
  get isOpen(): boolean {
    return this.isReusable && !this.hasEnded;
  }

  /** Sends a request and waits for its answer. */
  async sendRequest(request: CallerRequest): Promise<RequestRecord> {
    const { body = '', bodyDelayMs, waitMs } = request;
    const beganAtMs = performance.now();
    this.requestCount += 1;
    const ended = new Promise<ExchangeResult>((resolve) => {
      this.settle = resolve;
    });
    const timer = setTimeout(() => this.endRequest({ kind: 'silent' }), waitMs);
    const wasConnected = await this.connected;
    // The end of the connection may have arrived and not been seen.
    await waitForNextRead();
    let isWhole = wasConnected && !this.hasEnded && this.settle !== undefined;
    if (isWhole && bodyDelayMs > 0) {
      isWhole = await this.writeText(buildHead(request));
      await pause(bodyDelayMs);
      isWhole &&= await this.writeText(body);
    } else if (isWhole) {
      isWhole = await this.writeText(buildHead(request) + body);
    }
    const sentAtMs = performance.now();
    const ending = isWhole || this.settle === undefined ? await ended : UNSENT;
    clearTimeout(timer);
    if (request.isLast || ending.kind !== 'answered') {
      this.close();
    }
    return {
      request,
      address: this.address,
      beganAtMs,
      sentAtMs,
      endedAtMs: this.endedAtMs,
      position: this.requestCount,
      result: isWhole || ending.kind === 'answered' ? ending : UNSENT,
    };
  }

  /** Closes the connection. */
  close(): void {
    this.hasEnded = true;
    this.socket.destroy();
  }

  /** Resolves when the kernel has taken the text; false if the connection has ended before. */
  private writeText(text: string): Promise<boolean> {
    return new Promise((resolve) => {
      this.socket.write(text, (error) => resolve(error === undefined || error === null));
    });
  }

  private endRequest(result: ExchangeResult, atMs = performance.now()): void {
    this.endedAtMs = atMs;
    this.settle?.(result);
    this.settle = undefined;
  }

  private handleBytes(bytes: Buffer): void {
    const parsed = this.parser.parseBytes(bytes);
    if (parsed.kind === 'response') {
      const { status, body, isReusable } = parsed.response;
      this.isReusable &&= isReusable;
      this.endRequest({ kind: 'answered', status, text: body.toString('utf8') });
    }
  }

  private handleEnd(): void {
    const atMs = performance.now();
    this.hasEnded = true;
    const parsed = this.parser.parseEnd();
    if (parsed.kind === 'response') {
      const { status, body } = parsed.response;
      this.endRequest({ kind: 'answered', status, text: body.toString('utf8') });
    }
    if (this.settle === undefined) {
      this.socket.destroy();
      return;
    }
    setTimeout(() => {
      void this.writeText('\n').then((isTaken) => {
        this.endRequest({ kind: 'cut', isUnread: !isTaken, isReset: false }, atMs);
      });
    }, RESET_MS);
  }

  private handleError(error: NodeJS.ErrnoException): void {
    // After the server's end, errors are those of the write that asks about the request.
    if (!this.hasEnded) {
      this.hasEnded = true;
      const wasSent = error.syscall === 'read';
      this.endRequest(wasSent ? { kind: 'cut', isUnread: false, isReset: true } : UNSENT);
    }
  }
}
