import type { AttemptId } from '@guavaspindle/kernel/ids/attempt-id';
import type { AttemptOutcome } from '@guavaspindle/kernel/outcome/attempt-outcome';
import { NotRun } from '@guavaspindle/kernel/outcome/not-run';
import type { Dispatcher } from 'undici';
import { classifyResponse } from './classify-response';
import { classifyException } from './classify-exception';

/** Maximum size of the response body of a backend server. */
const MAX_ANSWER_BYTES = 4 * 1_048_576;

/** Callbacks of a call. */
interface StartCallHooks {
  readonly reportLeaving: () => void;
  readonly reportOutcome: (outcome: AttemptOutcome) => void;
}

/**
 * The HTTP request that carries one start to a backend server. Collects the response body and
 * reports exactly one outcome. Implements the HTTP client's handler interface, because that costs
 * less than a stream for each response.
 */
export class StartCall implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private status = 0;

  private chunks: Buffer[] = [];

  private receivedBytes = 0;

  private isEnded = false;

  private isCancelled = false;

  constructor(
    private readonly attempt: AttemptId,
    private readonly hooks: StartCallHooks,
  ) {}

  /**
   * Ends the call immediately. If the request has been sent, the task may still run.
   *
   * @param detail - the reason, for the outcome
   */
  cancel(detail: string): void {
    this.isCancelled = true;
    const { controller } = this;
    // Without a controller the request still waits for a connection; onRequestStart then aborts it.
    this.endCall(
      controller === undefined ? NotRun.proveNeverSent(detail) : { type: 'unknown', detail },
    );
    controller?.abort(new Error(detail));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.isCancelled) {
      controller.abort(new Error('start cancelled before the request was sent'));
      return;
    }
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.status = statusCode;
    if (headers['x-leaving'] === 'true') {
      this.hooks.reportLeaving();
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > MAX_ANSWER_BYTES) {
      controller.abort(new Error(`the answer is longer than ${MAX_ANSWER_BYTES} bytes`));
      return;
    }
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const text = Buffer.concat(this.chunks).toString('utf8');
    this.endCall(classifyResponse(this.attempt, this.status, text));
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.endCall(classifyException(error));
  }

  private endCall(outcome: AttemptOutcome): void {
    if (this.isEnded) {
      return;
    }
    this.isEnded = true;
    this.chunks = [];
    this.hooks.reportOutcome(outcome);
  }
}
