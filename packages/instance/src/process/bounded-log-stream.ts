/** Lines are dropped while more than this many bytes wait to be read. */
const MAX_BUFFERED_BYTES = 262_144;

/** Destination of the log lines. */
interface LineSink {
  readonly writableLength: number;
  write(text: string): unknown;
}

/** Writes log lines without waiting for a slow reader, and logs how many lines were dropped. */
export class BoundedLogStream {
  private droppedLines = 0;

  constructor(private readonly sink: LineSink) {}

  /** Writes a line, or counts it as dropped. */
  write(line: string): void {
    if (this.sink.writableLength > MAX_BUFFERED_BYTES) {
      this.droppedLines += 1;
      return;
    }
    if (this.droppedLines > 0) {
      this.sink.write(
        `${JSON.stringify({ msg: 'log lines dropped', lines: this.droppedLines })}\n`,
      );
      this.droppedLines = 0;
    }
    this.sink.write(line);
  }
}
