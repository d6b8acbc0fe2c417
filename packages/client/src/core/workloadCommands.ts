import { setTimeout as delay } from 'node:timers/promises';

import { Err, Ok } from '@chicorybend/common';
import type {
  InteractiveResponse,
  JobState,
  JobView,
  Result,
  TaskState,
} from '@chicorybend/common';
import type { CommandDef } from 'citty';
import { v7 as createUuid } from 'uuid';

import { createCommand, createGroup } from './commandLine.js';
import type { CommandContext } from './commandLine.js';
import { EXIT_CODES } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';
import { usageProblem } from './problem.js';
import type { Problem } from './problem.js';
import { showReport } from './reportCommands.js';
import type { PartitionReport } from './reportCommands.js';
import { DONE, drawTable, formatTime } from './session.js';
import type { CommandOutcome, Session } from './session.js';

/** Longest wait of one long poll for the result of a job. */
const LONG_POLL_MILLISECONDS = 10_000;
/** Interval at which a job is polled for its start, which has no long poll. */
const POLL_INTERVAL_MILLISECONDS = 250;
const ENDED_JOB_STATES: ReadonlySet<JobState> = new Set([
  'succeeded',
  'failed',
  'cancelled',
  'unknown',
]);
const STARTED_TASK_STATES: ReadonlySet<TaskState> = new Set(['running', 'succeeded']);

/** State that `jobs wait` waits for. */
type WaitTarget = 'ended' | 'running';

const JOB_ARGS = {
  id: { type: 'positional', description: 'Job id', required: true },
} as const;

const PAYLOAD_ARGS = {
  queue: { type: 'string', description: 'Queue', required: true },
  payload: { type: 'string', description: 'Payload as JSON', default: 'null' },
  idempotent: { type: 'boolean', description: 'May be run again after an unknown outcome' },
  'idempotency-key': {
    type: 'string',
    description: 'Key of an earlier attempt, to repeat it without running it twice',
  },
} as const;

function parsePayload(text: string): Result<unknown, Problem> {
  try {
    return Ok(JSON.parse(text));
  } catch {
    return Err(usageProblem('--payload is not JSON.', 'Quote it, as in --payload \'{"a": 1}\'.'));
  }
}

function parseNumber(flag: string, text: string): Result<number, Problem> {
  const value = Number(text);
  if (text !== '' && Number.isFinite(value) && value >= 0) return Ok(value);
  return Err(usageProblem(`--${flag} ${text} is not a number of at least 0.`));
}

function formatJob(job: JobView): string {
  const rows = job.tasks.map((task) => [
    task.taskId,
    task.state,
    task.attempt,
    task.workerId ?? '-',
    task.waitsFor ?? '',
  ]);
  const tasks = drawTable(['task', 'state', 'attempt', 'worker', 'waits for'], rows);
  return `Job ${job.jobId}: ${job.state}\n${tasks}`;
}

function exitCodeForState(state: JobState): ExitCode {
  if (state === 'succeeded') return EXIT_CODES.success;
  return state === 'unknown' ? EXIT_CODES.unknown : EXIT_CODES.refused;
}

/** Adds the idempotency key to the next step, so that the operator can repeat the request without running it twice. */
function addIdempotencyKey<Body>(
  response: Result<Body, Problem>,
  key: string,
): Result<Body, Problem> {
  return response.mapErr((problem) => ({
    ...problem,
    nextStep:
      problem.exitCode === EXIT_CODES.unknown
        ? `${problem.nextStep} The idempotency key was ${key}.`
        : problem.nextStep,
  }));
}

interface SubmitArgs {
  readonly queue: string;
  readonly payload: string;
  readonly kind: string;
  readonly tasks: string;
  readonly processors: string;
  readonly 'memory-bytes': string;
  readonly accelerators: string;
  readonly 'expected-run-milliseconds': string;
  readonly idempotent?: boolean | undefined;
  readonly urgent?: boolean | undefined;
  readonly quiet?: boolean | undefined;
  readonly 'idempotency-key'?: string | undefined;
}

function buildJobRequest(args: SubmitArgs): Result<object, Problem> {
  const payload = parsePayload(args.payload);
  if (payload.isErr()) return payload;
  const flags = [
    'tasks',
    'processors',
    'memory-bytes',
    'accelerators',
    'expected-run-milliseconds',
  ] as const;
  const numbers = flags.map((flag) => parseNumber(flag, args[flag]));
  const invalidNumber = numbers.find((number) => number.isErr());
  if (invalidNumber?.isErr()) return invalidNumber;
  const [tasks, processors, memoryBytes, accelerators, expectedRunMilliseconds] = numbers.map(
    (number) => number.unwrapOr(0),
  );
  return Ok({
    queue: args.queue,
    kind: args.kind,
    tasks,
    resources: { processors, memoryBytes, accelerators },
    idempotent: args.idempotent ?? false,
    urgent: args.urgent ?? false,
    expectedRunMilliseconds,
    payload: payload.value,
  });
}

async function submitJob(session: Session, args: SubmitArgs): Promise<CommandOutcome> {
  const body = buildJobRequest(args);
  if (body.isErr()) return body;
  const key = args['idempotency-key'] ?? createUuid();
  const response = await session.callAsCaller<{ jobId: string }>({
    method: 'POST',
    path: '/v1/jobs',
    body: body.value,
    headers: { 'idempotency-key': key },
  });
  if (response.isErr()) return addIdempotencyKey<ExitCode>(response, key);
  const { jobId } = response.value;
  session.show(response.value, args.quiet ? jobId : `Job ${jobId} is accepted.`);
  return DONE;
}

async function showJob(
  session: Session,
  method: 'GET' | 'POST',
  path: string,
): Promise<CommandOutcome> {
  const response = await session.callAsCaller<JobView>({ method, path });
  if (response.isErr()) return response;
  session.show(response.value, formatJob(response.value));
  return DONE;
}

/** Reads the job once: with a long poll if its end is awaited, or after a pause if its start is. */
async function pollJob(
  session: Session,
  jobId: string,
  until: WaitTarget,
  remainingMilliseconds: number,
): Promise<Result<JobView, Problem>> {
  const path = `/v1/jobs/${encodeURIComponent(jobId)}`;
  if (until === 'running') {
    await delay(Math.min(POLL_INTERVAL_MILLISECONDS, remainingMilliseconds));
    return session.callAsCaller<JobView>({ method: 'GET', path });
  }
  const wait = Math.floor(Math.min(LONG_POLL_MILLISECONDS, remainingMilliseconds));
  const query = `waitMilliseconds=${wait}`;
  return session.callAsCaller<JobView>({ method: 'GET', path: `${path}/result?${query}` });
}

function hasStartedAllTasks(job: JobView): boolean {
  return job.state === 'running' && job.tasks.every(({ state }) => STARTED_TASK_STATES.has(state));
}

async function waitForJob(
  session: Session,
  jobId: string,
  until: WaitTarget,
  timeoutMilliseconds: number,
): Promise<CommandOutcome> {
  const deadline = performance.now() + timeoutMilliseconds;
  for (;;) {
    const remaining = Math.max(0, deadline - performance.now());
    const response = await pollJob(session, jobId, until, remaining);
    if (response.isErr()) return response;
    const job = response.value;
    if (until === 'running' && hasStartedAllTasks(job)) {
      session.show(job, formatJob(job));
      return DONE;
    }
    if (ENDED_JOB_STATES.has(job.state)) {
      session.show(job, formatJob(job));
      return Ok(exitCodeForState(job.state));
    }
    if (performance.now() >= deadline) {
      return Err({
        exitCode: EXIT_CODES.refused,
        message: `Job ${jobId} is ${job.state} after the time to wait.`,
        details: [],
        nextStep: `Run "chicorybend jobs wait ${jobId}${until === 'running' ? ' --until running' : ''}" again.`,
      });
    }
  }
}

async function listJobs(session: Session, team: string | undefined): Promise<CommandOutcome> {
  const query = team === undefined ? '' : `?team=${encodeURIComponent(team)}`;
  const response = await session.callAsOperator<PartitionReport<JobView>>({
    method: 'GET',
    path: `/v1/jobs${query}`,
  });
  if (response.isErr()) return response;
  return showReport(
    session,
    response.value,
    ['job', 'team', 'queue', 'kind', 'state', 'tasks', 'accepted'],
    (job) => [
      job.jobId,
      job.team,
      job.queue,
      job.kind,
      job.state,
      job.tasks.length,
      formatTime(job.acceptedAt),
    ],
  );
}

async function releaseJob(session: Session, jobId: string): Promise<CommandOutcome> {
  const response = await session.callAsOperator<JobView>({
    method: 'POST',
    path: `/v1/jobs/${encodeURIComponent(jobId)}/release`,
  });
  if (response.isErr()) return response;
  session.show(response.value, `Job ${jobId} is released. Its state is ${response.value.state}.`);
  return DONE;
}

/** @returns group `jobs` */
export function createJobCommands(context: CommandContext): CommandDef {
  return createGroup('jobs', 'Batches, gangs and services', {
    submit: createCommand(context, {
      name: 'submit',
      description: 'Submit a job with a key of a team',
      args: {
        ...PAYLOAD_ARGS,
        kind: { type: 'enum', options: ['batch', 'gang', 'service'], default: 'batch' },
        tasks: { type: 'string', description: 'Number of tasks', default: '1' },
        processors: { type: 'string', description: 'Cores per task', default: '1' },
        'memory-bytes': { type: 'string', description: 'Memory per task', default: '268435456' },
        accelerators: { type: 'string', description: 'Accelerators per task', default: '0' },
        'expected-run-milliseconds': {
          type: 'string',
          description: 'Expected run time of a task',
          default: '60000',
        },
        urgent: { type: 'boolean', description: 'Start before other work' },
        quiet: { type: 'boolean', description: 'Print only the id of the job' },
      },
      examples: [
        'chicorybend jobs submit --queue sorting --quiet',
        'chicorybend jobs submit --queue sorting --tasks 4 --processors 2 --payload \'{"barge":17}\'',
      ],
      run: (session, args) => submitJob(session, args),
    }),
    state: createCommand(context, {
      name: 'state',
      description: 'Show a job of the key’s team',
      args: JOB_ARGS,
      examples: ['chicorybend jobs state 3-018f2c9e-7a51-7c3d-9b1e-2f64d0a8c511'],
      run: (session, args) => showJob(session, 'GET', `/v1/jobs/${encodeURIComponent(args.id)}`),
    }),
    wait: createCommand(context, {
      name: 'wait',
      description: 'Wait until a job has ended, with exit code 0 if it succeeded, or until it runs',
      args: {
        ...JOB_ARGS,
        until: {
          type: 'enum',
          options: ['ended', 'running'],
          default: 'ended',
          description: 'State to wait for; a service runs until it is cancelled',
        },
        timeout: { type: 'string', description: 'Time to wait, in milliseconds', default: '60000' },
      },
      examples: [
        'chicorybend jobs wait 3-018f2c9e-7a51-7c3d-9b1e-2f64d0a8c511 --timeout 30000',
        'chicorybend jobs wait 3-018f2c9e-7a51-7c3d-9b1e-2f64d0a8c511 --until running',
      ],
      async run(session, args) {
        const timeout = parseNumber('timeout', args.timeout);
        return timeout.isErr() ? timeout : waitForJob(session, args.id, args.until, timeout.value);
      },
    }),
    cancel: createCommand(context, {
      name: 'cancel',
      description: 'Cancel a job of the key’s team',
      args: JOB_ARGS,
      examples: ['chicorybend jobs cancel 3-018f2c9e-7a51-7c3d-9b1e-2f64d0a8c511'],
      run: (session, args) =>
        showJob(session, 'POST', `/v1/jobs/${encodeURIComponent(args.id)}/cancel`),
    }),
    release: createCommand(context, {
      name: 'release',
      description: 'Release a held job, for operators; remove the cause of the hold first',
      args: JOB_ARGS,
      examples: ['chicorybend jobs release 0-018f2c9e-7a51-7c3d-9b1e-2f64d0a8c511'],
      run: (session, args) => releaseJob(session, args.id),
    }),
    list: createCommand(context, {
      name: 'list',
      description: 'List the jobs of all teams, for operators',
      args: { team: { type: 'string', description: 'Only jobs of this team' } },
      examples: ['chicorybend jobs list', 'chicorybend jobs list --team harbour --json'],
      run: (session, args) => listJobs(session, args.team),
    }),
  });
}

interface SendArgs {
  readonly queue: string;
  readonly payload: string;
  readonly idempotent?: boolean | undefined;
  readonly deadline: string;
  readonly 'idempotency-key'?: string | undefined;
}

async function sendRequest(session: Session, args: SendArgs): Promise<CommandOutcome> {
  const payload = parsePayload(args.payload);
  if (payload.isErr()) return payload;
  const deadline = parseNumber('deadline', args.deadline);
  if (deadline.isErr()) return deadline;
  const idempotent = args.idempotent ?? false;
  const key = args['idempotency-key'] ?? createUuid();
  const response = await session.callAsCaller<InteractiveResponse>({
    method: 'POST',
    path: '/v1/requests',
    body: {
      queue: args.queue,
      idempotent,
      deadlineMilliseconds: deadline.value,
      payload: payload.value,
    },
    headers: idempotent ? {} : { 'idempotency-key': key },
  });
  if (response.isErr()) return addIdempotencyKey<ExitCode>(response, key);
  const { endpointId, result } = response.value;
  session.show(response.value, `Answered by ${endpointId}:\n${JSON.stringify(result, null, 2)}`);
  return DONE;
}

/** @returns group `requests` */
export function createRequestCommands(context: CommandContext): CommandDef {
  return createGroup('requests', 'Interactive requests', {
    send: createCommand(context, {
      name: 'send',
      description: 'Send an interactive request with a key of a team',
      args: {
        ...PAYLOAD_ARGS,
        deadline: { type: 'string', description: 'Time to wait, in milliseconds', default: '5000' },
      },
      examples: ['chicorybend requests send --queue quotes --idempotent --payload \'{"lot":5}\''],
      run: (session, args) => sendRequest(session, args),
    }),
  });
}
