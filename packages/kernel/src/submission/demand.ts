/** What a task needs at least of the backend server that runs it, or what a server has. */
export interface Demand {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}
