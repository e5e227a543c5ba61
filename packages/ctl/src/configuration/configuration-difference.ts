/** A value that differs between two configurations; undefined on the side that does not have it. */
export interface ConfigurationDifference {
  readonly subject: string;
  readonly before: unknown;
  readonly after: unknown;
}
