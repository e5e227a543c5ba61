/** Something that is wrong, or probably not meant, in a configuration. */
export interface ConfigurationFinding {
  /** `error`: requests that the configuration is to serve cannot be served, or a part has no effect. */
  readonly severity: 'error' | 'warning';
  /** The part that it is about: a route's number and address, a queue, or `configuration`. */
  readonly subject: string;
  readonly message: string;
}
