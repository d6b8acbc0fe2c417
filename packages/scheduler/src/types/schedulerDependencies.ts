import type { Clock, Log } from '@chicorybend/common';

import type { SchedulerMetrics } from '../core/schedulerMetrics.js';
import type { ClusterStore } from './clusterStore.js';
import type { ConfigurationSource } from './configuration.js';
import type { EndpointClient, EndpointDirectory } from './endpoint.js';
import type { EndpointTimeLimits } from './termContext.js';

/** What the scheduler needs of its process and of the platform. */
export interface SchedulerDependencies {
  readonly store: ClusterStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: SchedulerMetrics;
  readonly endpoints: EndpointClient;
  readonly directory: EndpointDirectory;
  readonly configurationSource: ConfigurationSource;
  readonly timeLimits: EndpointTimeLimits;
  /** How long an ended job is known, in milliseconds. */
  readonly retentionMilliseconds: number;
}
