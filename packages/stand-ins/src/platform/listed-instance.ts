/** A backend server in the instance list of the platform stand-in. */
export interface ListedInstance {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly meta: Readonly<Record<string, string>>;
}
