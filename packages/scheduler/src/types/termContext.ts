import type { Clock, Log } from '@chicorybend/common';

import type { CommitQueue } from '../core/commitQueue.js';
import type { EndpointTable } from '../core/endpointTable.js';
import type { SchedulerMetrics } from '../core/schedulerMetrics.js';
import type { DurationEstimates } from '../core/durationEstimates.js';
import type { ClusterConfiguration, JobQueueSettings, TeamQuota } from './configuration.js';
import type { EndpointClient } from './endpoint.js';
import type { JobRecord } from './jobRecord.js';

/** Times that the platform sets for work on endpoints, in milliseconds. */
export interface EndpointTimeLimits {
  /** Longest lease of what runs on an endpoint. */
  readonly maximumLeaseMilliseconds: number;
  /** Longest time that a stop takes. */
  readonly maximumStopMilliseconds: number;
}

/** State and collaborators that the parts of a term share. */
export interface TermContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: SchedulerMetrics;
  readonly epoch: number;
  readonly timeLimits: EndpointTimeLimits;
  readonly endpoints: EndpointClient;
  readonly table: EndpointTable;
  readonly jobs: Map<string, JobRecord>;
  readonly commits: CommitQueue;
  readonly estimates: DurationEstimates;
  /** @returns the configuration in effect; null before the first one */
  configuration(): ClusterConfiguration | null;
  /** @returns a queue of the configuration in effect */
  queue(name: string): JobQueueSettings | undefined;
  /** @returns a team of the configuration in effect */
  team(name: string): TeamQuota | undefined;
  /** @returns whether the term may give orders now */
  isOwnerLeaseValid(): boolean;
  /** @returns whether the term has ended */
  hasEnded(): boolean;
  /** Ends the term because an endpoint has seen a higher fencing token. */
  abandonTerm(reason: string): void;
  /** Asks for a round of placements soon. */
  requestRound(): void;
}
