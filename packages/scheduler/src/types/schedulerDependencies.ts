import type { Clock, Log } from '@chicorybend/common';
import type { PastUseSettings } from '@chicorybend/decisions';

import type { SchedulerMetrics } from '../core/schedulerMetrics.js';
import type { ClusterStore } from './clusterStore.js';
import type { ConfigurationSource } from './configuration.js';
import type { EndpointClient, EndpointDirectory } from './endpoint.js';
import type { EvacuationSettings } from './evacuation.js';
import type { EndpointTimeLimits } from './termContext.js';

/** Services that the process and the platform provide to the scheduler. */
export interface SchedulerDependencies {
  readonly store: ClusterStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: SchedulerMetrics;
  readonly endpoints: EndpointClient;
  readonly directory: EndpointDirectory;
  readonly configurationSource: ConfigurationSource;
  /** Null if the deployment does not take data centres out of service. */
  readonly evacuation: EvacuationSettings | null;
  readonly timeLimits: EndpointTimeLimits;
  /**
   * Maximum age of the configuration that a call is judged by, in milliseconds; at most the time after which a change
   * has to be in effect.
   */
  readonly maximumConfigurationAgeMilliseconds: number;
  /** Maximum size of a value in the store, in bytes. */
  readonly maximumValueBytes: number;
  /** How long the record of an ended job is kept, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** Absent if past use has no effect on the order of waiting work. */
  readonly pastUse?: PastUseSettings;
}
