import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';

const TIMEOUT_MS = 10_000;

/** An agent's answer. */
interface AgentAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Calls one agent's administration interface. */
export class AgentClient {
  constructor(
    private readonly url: string,
    private readonly key: string,
  ) {}

  /** Sends a request; the error is a sentence that says what to try. */
  async sendRequest(
    method: 'GET' | 'PUT' | 'DELETE' | 'POST',
    path: string,
    options: { body?: unknown; ifMatch?: string } = {},
  ): Promise<Result<AgentAnswer, string>> {
    const headers: Record<string, string> = { authorization: `Bearer ${this.key}` };
    if (options.ifMatch !== undefined) {
      headers['if-match'] = options.ifMatch;
    }
    try {
      const response = await request(`${this.url}${path}`, {
        method,
        headers,
        headersTimeout: TIMEOUT_MS,
        ...(options.body === undefined ? {} : { body: JSON.stringify(options.body) }),
      });
      return ok({ status: response.statusCode, body: await response.body.json() });
    } catch (error) {
      const reason = (error as NodeJS.ErrnoException).code ?? (error as Error).message;
      return err(
        `The agent at ${this.url} cannot be reached (${reason}). ` +
          'Check the address, or name another agent with --agent or GUAVACTL_AGENT.',
      );
    }
  }
}
