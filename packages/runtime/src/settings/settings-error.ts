/** One thing wrong in a settings file, for a person to mend. */
export interface SettingsError {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  /** What was found, and what is accepted. */
  readonly message: string;
}
