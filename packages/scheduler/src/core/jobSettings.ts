import type { Resources } from '@chicorybend/common';

import type { ClusterConfiguration, JobQueueSettings, TeamQuota } from '../types/configuration.js';
import type { JobRecord } from '../types/jobRecord.js';

/** Priority of queues whose callers wait for the result. */
const URGENT_PRIORITY = 0;
/** Weight of a team that no known configuration contains. */
const DEFAULT_WEIGHT = 1;

/**
 * Settings that apply to a job. A job that has been accepted is carried out even if its queue or team is removed
 * from the configuration, under the settings that were last known.
 */
export interface JobSettings {
  /** @returns settings of the job's queue; null if they are not known */
  queueOf(job: JobRecord): JobQueueSettings | null;
  /** @returns whether callers wait for the result of the job */
  isUrgent(job: JobRecord): boolean;
  /** @returns maximum resources of the job's team; null if there is no limit */
  teamLimitOf(job: JobRecord): Resources | null;
  /** @returns weight of the job's team for fair sharing */
  weightOf(job: Pick<JobRecord, 'team'>): number;
  /** Puts a newer configuration into effect. */
  apply(configuration: ClusterConfiguration): void;
}

/** Creates settings without a configuration. */
export function createJobSettings(): JobSettings {
  /** By name: queues and teams, also those that were removed during this term. */
  const queues = new Map<string, JobQueueSettings>();
  const teams = new Map<string, TeamQuota>();

  function queueOf({ queue, admission }: JobRecord): JobQueueSettings | null {
    return queues.get(queue) ?? admission.queue;
  }

  return {
    queueOf,
    isUrgent: (job) => queueOf(job)?.priority === URGENT_PRIORITY,
    teamLimitOf: ({ team, admission }) => teams.get(team)?.limit ?? admission.teamLimit,
    weightOf: ({ team }) => teams.get(team)?.weight ?? DEFAULT_WEIGHT,
    apply(configuration) {
      configuration.queues.forEach((queue) => queues.set(queue.name, queue));
      configuration.teams.forEach((team) => teams.set(team.name, team));
    },
  };
}
