import type { Resources } from '@chicorybend/common';

/** Duration of advice calls for a queue, and validity of the tickets that they return. */
export interface AdviceSettings {
  /** Fixed duration of a call, in milliseconds. */
  readonly callMilliseconds: number;
  /** Additional duration for each endpoint in the call, in milliseconds. */
  readonly endpointMilliseconds: number;
  /** Validity of a ticket, in milliseconds. */
  readonly ticketMilliseconds: number;
}

/** Settings of a queue for jobs. */
export interface JobQueueSettings {
  readonly name: string;
  readonly host: string;
  /** Path that requests to the queue begin with. */
  readonly pathPrefix: string;
  /** Service whose endpoints run the tasks. */
  readonly service: string;
  /** Priority against other queues; 0 is the highest. */
  readonly priority: number;
  /** Number of failed runs after which a task, and with it the job, fails. */
  readonly maximumAttempts: number;
  /** Completion objective: `stretch` times the duration of the critical path, plus the target in milliseconds. */
  readonly stretch: number;
  readonly targetCompletionMilliseconds: number;
  readonly advice: AdviceSettings | null;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
}

/** Settings of a service, which is a pool of endpoints. */
export interface ServiceSettings {
  readonly name: string;
  /** Whether the endpoints refuse runs that exceed their capacity. */
  readonly enforcesCapacity: boolean;
}

/** Quota of a team on the shared endpoints. */
export interface TeamQuota {
  readonly name: string;
  readonly keys: readonly string[];
  /** Weight for fair sharing when the endpoints are full. */
  readonly weight: number;
  /** Maximum resources of the runs of the team, by dimension; 0 means no limit. */
  readonly limit: Resources;
}

/** One version of the configuration of queues, services and teams. */
export interface ClusterConfiguration {
  readonly version: number;
  readonly queues: readonly JobQueueSettings[];
  readonly services: readonly ServiceSettings[];
  readonly teams: readonly TeamQuota[];
  readonly maximumBodyBytes: number;
}

/** Source of the current configuration. */
export interface ConfigurationSource {
  /**
   * Reads the newest configuration; null if none has been written yet.
   *
   * @param timeoutMilliseconds timeout of the call, in milliseconds
   */
  read(
    timeoutMilliseconds: number,
  ): Promise<
    | { readonly kind: 'answered'; readonly configuration: ClusterConfiguration | null }
    | { readonly kind: 'failed'; readonly reason: string }
  >;
}
