/** An amount of a backend server's resources. */
export interface Resources {
  /** Processor, in thousandths of a core. */
  readonly cpuMilli: number;
  /** Memory, in MiB. */
  readonly memoryMb: number;
  /** Accelerators. */
  readonly gpus: number;
}
