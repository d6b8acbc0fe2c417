import type { Clock, Log } from '@chicorybend/common';

import type { CommitQueue } from '../core/commitQueue.js';
import type { EndpointTable } from '../core/endpointTable.js';
import type { EvacuationWatch } from '../core/evacuationWatch.js';
import type { JobSettings } from '../core/jobSettings.js';
import type { OwnerLateness } from '../core/ownerLateness.js';
import type { OutstandingStarts } from '../core/outstandingStarts.js';
import type { SchedulerMetrics } from '../core/schedulerMetrics.js';
import type { WorkMeter } from '../core/workMeter.js';
import type { DurationEstimates } from '../core/durationEstimates.js';
import type { ClusterConfiguration } from './configuration.js';
import type { EndpointClient } from './endpoint.js';
import type { JobRecord } from './jobRecord.js';

/** Limits that the platform sets for runs on endpoints, in milliseconds. */
export interface EndpointTimeLimits {
  /** Maximum lease of the runs on an endpoint. */
  readonly maximumLeaseMilliseconds: number;
  /** An order without an answer may be executed until this long after it was sent, also by a later incarnation. */
  readonly maximumOrderDelayMilliseconds: number;
  /** Maximum time that an endpoint takes to stop a run. */
  readonly maximumStopMilliseconds: number;
  /** Interval at which an endpoint renews its entry in the directory. */
  readonly heartbeatMilliseconds: number;
}

/** State and services shared by the components of an owner's term. */
export interface TermContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: SchedulerMetrics;
  readonly workMeter: WorkMeter;
  readonly lateness: OwnerLateness;
  readonly epoch: number;
  /** Whether another term may have sent orders before this one. */
  readonly hasFormerOwner: boolean;
  /** @returns a fencing token of this term that is higher than all those that it has used */
  takeFencingToken(): number;
  readonly timeLimits: EndpointTimeLimits;
  /** Maximum number of tasks of a job that are open at once. */
  readonly maximumOpenTasks: number;
  readonly endpoints: EndpointClient;
  readonly table: EndpointTable;
  readonly jobs: Map<string, JobRecord>;
  readonly commits: CommitQueue;
  readonly estimates: DurationEstimates;
  /** @returns the current configuration */
  configuration(): ClusterConfiguration;
  readonly settings: JobSettings;
  readonly outstandingStarts: OutstandingStarts;
  readonly evacuations: EvacuationWatch;
  /** @returns whether the owner's lease is valid, so that the term may send orders */
  isOwnerLeaseValid(): boolean;
  hasEnded(): boolean;
  /** Ends the term because an endpoint has seen a higher fencing token, which shows that there is a newer owner. */
  abandonTerm(reason: string): void;
  /** Schedules a round of the dispatcher. */
  requestRound(): void;
}
