/** What a settings file that is right by itself says about its place among the others. */
export interface CheckedFile {
  readonly file: string;
  readonly domain: string;
  /** Addresses that the process listens on. */
  readonly addresses: readonly string[];
  /** A dispatcher's part of the limits. */
  readonly share: { readonly index: number; readonly count: number } | undefined;
}
