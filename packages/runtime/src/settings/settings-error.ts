/** An error in a settings file. */
export interface SettingsError {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  /** States what was found and what is accepted. */
  readonly message: string;
}
