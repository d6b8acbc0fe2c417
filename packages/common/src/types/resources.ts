/** Capacity of a VM or requirements of a task. */
export interface Resources {
  /** Processor cores. Fractions are allowed. */
  readonly processors: number;
  /** Memory in bytes. */
  readonly memoryBytes: number;
  /** Number of accelerators; whole numbers only. */
  readonly accelerators: number;
}

/** Names of the dimensions of {@link Resources}. */
export const RESOURCE_DIMENSIONS = ['processors', 'memoryBytes', 'accelerators'] as const;

/** Name of a dimension of {@link Resources}. */
export type ResourceDimension = (typeof RESOURCE_DIMENSIONS)[number];
