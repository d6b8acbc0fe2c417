import type { FaultKind, PlannedFault } from '../types/fault.js';

/** Faults at fixed times, of one kind or several at once, under which all checks must hold. */
export interface Scenario {
  readonly name: string;
  readonly faults: readonly PlannedFault[];
}

/** Duration of the load, in milliseconds. */
export const SCENARIO_MILLISECONDS = 14_000;

const FIRST_DAEMON = 1;
const SECOND_DAEMON = 3;
const EARLY_MILLISECONDS = 2_000;
const LATE_MILLISECONDS = 4_000;
const SILENT_WORKERS = Array.from({ length: 12 }, (_, index) => index + 5);

function fault(
  kind: FaultKind,
  at: number,
  durationMilliseconds: number,
  target = FIRST_DAEMON,
): PlannedFault {
  return { kind, at, durationMilliseconds, target, other: SECOND_DAEMON };
}

/** Scenarios with one kind of fault. */
export const SINGLE_SCENARIOS: readonly Scenario[] = [
  { name: 'kill -9 of a daemon', faults: [fault('daemon-killed', EARLY_MILLISECONDS, 6_000)] },
  {
    name: 'a daemon paused for longer than its leases',
    faults: [fault('daemon-paused', EARLY_MILLISECONDS, 8_000)],
  },
  {
    name: 'a link cut, then silent',
    faults: [
      fault('link-cut', EARLY_MILLISECONDS, 4_000),
      fault('link-silent', EARLY_MILLISECONDS + 5_000, 4_000),
      fault('open-links-silent', EARLY_MILLISECONDS, 1_000, SECOND_DAEMON),
    ],
  },
  { name: 'store down', faults: [fault('store-down', EARLY_MILLISECONDS, 8_000)] },
  {
    name: 'store slow, then answers lost',
    faults: [
      fault('store-slow', EARLY_MILLISECONDS, 4_000),
      fault('store-answers-lost', EARLY_MILLISECONDS + 5_000, 4_000),
    ],
  },
];

/** Scenarios with two faults at once. */
export const DOUBLE_SCENARIOS: readonly Scenario[] = [
  {
    name: 'kill -9 of a daemon while the store is down',
    faults: [
      fault('store-down', EARLY_MILLISECONDS, 7_000),
      fault('daemon-killed', LATE_MILLISECONDS, 6_000),
    ],
  },
  {
    name: 'a daemon paused while answers of the store are lost',
    faults: [
      fault('store-answers-lost', EARLY_MILLISECONDS, 9_000),
      fault('daemon-paused', LATE_MILLISECONDS, 6_000),
    ],
  },
  {
    name: 'two daemons killed',
    faults: [
      fault('daemon-killed', EARLY_MILLISECONDS, 6_000),
      fault('daemon-killed', EARLY_MILLISECONDS, 6_000, SECOND_DAEMON),
    ],
  },
  {
    name: 'a worker crashes and others go silent while a daemon is killed',
    faults: [
      fault('daemon-killed', EARLY_MILLISECONDS, 6_000),
      fault('worker-crashed', EARLY_MILLISECONDS, 3_000),
      // So many that some of them run services; these can restart only after their leases have expired.
      ...SILENT_WORKERS.map((worker) => fault('worker-silent', LATE_MILLISECONDS, 6_000, worker)),
    ],
  },
  {
    name: 'a daemon cut off from the store with a link to a peer cut, and endpoints that close',
    faults: [
      fault('store-cut-off', EARLY_MILLISECONDS, 7_000),
      fault('link-cut', EARLY_MILLISECONDS, 7_000),
      fault('endpoint-closes', LATE_MILLISECONDS, 4_000),
    ],
  },
];
