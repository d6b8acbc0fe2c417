/**
 * Jobs as callers see them.
 */
import type { JobView, TaskView } from '@chicorybend/common';

import type { Job, Task } from './jobState.js';
import { stateOfJob } from './taskRules.js';

/** Tells why a pending task waits, for people. */
export type ExplainWait = (taskId: string) => string | undefined;

function viewTask(task: Task, explainWait: ExplainWait): TaskView {
  const waitsFor = task.state === 'pending' ? explainWait(task.taskId) : undefined;
  return {
    taskId: task.taskId,
    state: task.state,
    attempt: task.attempt,
    workerId: task.workerId,
    ...(task.result === undefined ? {} : { result: task.result }),
    ...(waitsFor === undefined ? {} : { waitsFor }),
  };
}

/**
 * Describes a job.
 *
 * @param job job to describe
 * @param explainWait tells why a pending task waits
 * @returns the job as callers see it
 */
export function viewJob(job: Job, explainWait: ExplainWait): JobView {
  return {
    jobId: job.jobId,
    team: job.team,
    queue: job.request.queue,
    kind: job.request.kind,
    state: stateOfJob(job),
    acceptedAt: job.accepted.acceptedAt,
    tasks: job.tasks.map((task) => viewTask(task, explainWait)),
  };
}
