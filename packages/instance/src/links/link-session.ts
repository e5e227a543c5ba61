import type { ClientHttp2Stream, Http2Session } from 'node:http2';
import { Http2SessionManager } from '@connectrpc/connect-node';

/** The HTTP/2 connection of a link. Its pings cost much less than messages of the link's stream. */
export class LinkSession extends Http2SessionManager {
  private session: Http2Session | undefined;

  override async request(
    ...call: Parameters<Http2SessionManager['request']>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(...call);
    this.session = stream.session;
    return stream;
  }

  /** Sends a ping; `onAnswered` is called once the peer has answered it. */
  sendPing(payload: Buffer, onAnswered: () => void): void {
    if (this.session === undefined || this.session.destroyed) {
      return;
    }
    this.session.ping(payload, (error) => {
      if (error === null) {
        onAnswered();
      }
    });
  }
}
