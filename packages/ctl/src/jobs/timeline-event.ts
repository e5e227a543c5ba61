/** One event of the merged time line as an agent sends it. */
export interface TimelineEvent {
  readonly wallMs: number;
  readonly process: string;
  readonly type: string;
  readonly detail: Readonly<Record<string, unknown>>;
}
