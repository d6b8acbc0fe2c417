/**
 * Builds the views of jobs that callers read.
 */
import type { JobView, TaskView } from '@chicorybend/common';

import type { Job, Task } from './jobState.js';
import { stateOfJob } from './taskRules.js';

/** Explains to people what a pending task waits for. */
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
