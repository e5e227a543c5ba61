/** An entry of the stand-in's instance list. */
export interface ListedInstance {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly meta: Readonly<Record<string, string>>;
}
