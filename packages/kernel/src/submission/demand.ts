/** The minimum resources that a task needs on a backend server, or those that a server has. */
export interface Demand {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}
