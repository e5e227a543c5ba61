/** An amount of a backend server's resources. */
export interface Resources {
  /** CPU, in thousandths of a core. */
  readonly cpuMilli: number;
  /** Memory, in MiB. */
  readonly memoryMb: number;
  /** Number of accelerators. */
  readonly gpus: number;
}
