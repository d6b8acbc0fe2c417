import type { Resources } from '@chicorybend/common';

/** Cost of eligibility advice for a queue. */
export interface AdviceSettings {
  /** Time of a call, in milliseconds. */
  readonly callMilliseconds: number;
  /** Further time for each endpoint asked about, in milliseconds. */
  readonly endpointMilliseconds: number;
  /** How long a ticket is valid, in milliseconds. */
  readonly ticketMilliseconds: number;
}

/** A queue that takes jobs. */
export interface JobQueueSettings {
  readonly name: string;
  readonly host: string;
  /** Path that the calls of the queue begin with. */
  readonly pathPrefix: string;
  /** Service whose endpoints run the tasks. */
  readonly service: string;
  /** Order against other queues; 0 comes first. */
  readonly priority: number;
  /** Failed runs after which a task is given up. */
  readonly maximumAttempts: number;
  /** Objective for the completion: a multiple of the work of the longest chain, plus a time. */
  readonly stretch: number;
  readonly targetCompletionMilliseconds: number;
  readonly advice: AdviceSettings | null;
  /** Whether calls need no key. */
  readonly isPublic: boolean;
}

/** A service: a pool of endpoints. */
export interface ServiceSettings {
  readonly name: string;
  /** Whether the endpoints refuse what does not fit. */
  readonly enforcesCapacity: boolean;
}

/** A team that shares the endpoints. */
export interface TeamQuota {
  readonly name: string;
  readonly keys: readonly string[];
  /** Share when all is full. */
  readonly weight: number;
  /** Upper limit of what the team has running, by dimension; 0 stands for no limit. */
  readonly limit: Resources;
}

/** Configuration of queues, services and teams, as one version. */
export interface ClusterConfiguration {
  readonly version: number;
  readonly queues: readonly JobQueueSettings[];
  readonly services: readonly ServiceSettings[];
  readonly teams: readonly TeamQuota[];
  readonly maximumBodyBytes: number;
}

/** Source of the configuration in effect. */
export interface ConfigurationSource {
  /**
   * Reads the newest configuration; null if there is none yet.
   *
   * @param timeoutMilliseconds limit of the call, in milliseconds
   */
  read(
    timeoutMilliseconds: number,
  ): Promise<
    | { readonly kind: 'answered'; readonly configuration: ClusterConfiguration | null }
    | { readonly kind: 'failed'; readonly reason: string }
  >;
}
