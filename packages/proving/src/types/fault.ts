/** Faults that a soak applies. */
export const FAULT_KINDS = [
  'daemon-killed',
  'daemon-paused',
  'daemon-stopped',
  'link-cut',
  'link-silent',
  'link-silent-one-way',
  'open-links-silent',
  'link-slow',
  'store-down',
  'store-slow',
  'store-answers-lost',
  'store-cut-off',
  'data-centres-split',
  'data-centre-cut-off',
  'worker-crashed',
  'worker-silent',
  'worker-paused',
  'worker-answers-lost',
  'worker-fails-everything',
  'endpoint-silent',
  'endpoint-connections-silent',
  'endpoint-closes',
  'endpoint-late',
  'endpoint-slow',
  'endpoint-crashed',
  'endpoint-leaving',
  'worker-leaving',
  'vm-list-down',
] as const;

/** Kind of a fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** A fault at a time on a target. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Time since the start of the soak, in milliseconds. */
  readonly at: number;
  /** Time until it is taken back, in milliseconds. */
  readonly durationMilliseconds: number;
  /** Number of the daemon, worker or endpoint, taken modulo how many there are. */
  readonly target: number;
  /** Number of the other daemon of a link. */
  readonly other: number;
}
