/** Kinds of faults that can be injected into a local cell. */
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

export type FaultKind = (typeof FAULT_KINDS)[number];

/** A fault to inject at a given time into a given target. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Time since the start of the soak, in milliseconds. */
  readonly at: number;
  /** Time until the fault is reverted, in milliseconds. */
  readonly durationMilliseconds: number;
  /** Index of the daemon, worker or endpoint, taken modulo their number. */
  readonly target: number;
  /** Index of the other daemon of a link, taken modulo the number of the other daemons. */
  readonly other: number;
}
