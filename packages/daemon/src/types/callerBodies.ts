import { z } from 'zod';

import type { InteractiveRequest, JobRequest } from '@chicorybend/common';

const MAXIMUM_TASKS = 10_000;
const MAXIMUM_WAIT_MILLISECONDS = 30_000;
const MAXIMUM_QUEUE_NAME_LENGTH = 63;

const queueName = z.string().min(1).max(MAXIMUM_QUEUE_NAME_LENGTH);
/** Any value, but required: `z.unknown()` alone accepts an absent field. */
const payload = z.unknown().refine((value) => value !== undefined, 'is required');

/** Body of `POST /v1/requests`. */
export const interactiveRequestSchema = z.strictObject({
  queue: queueName,
  idempotent: z.boolean(),
  deadlineMilliseconds: z.int().min(1),
  payload,
}) satisfies z.ZodType<InteractiveRequest>;

/** Body of `POST /v1/jobs`. */
export const jobRequestSchema = z.strictObject({
  queue: queueName,
  kind: z.enum(['batch', 'gang', 'service']),
  tasks: z.int().min(1).max(MAXIMUM_TASKS),
  resources: z.strictObject({
    processors: z.number().positive(),
    memoryBytes: z.int().min(0),
    accelerators: z.int().min(0).default(0),
  }),
  idempotent: z.boolean(),
  urgent: z.boolean().default(false),
  expectedRunMilliseconds: z.int().min(0),
  payload,
}) satisfies z.ZodType<JobRequest>;

/** Query of `GET /v1/jobs/:id/result`. */
export const jobResultQuerySchema = z.strictObject({
  waitMilliseconds: z.coerce.number().int().min(0).max(MAXIMUM_WAIT_MILLISECONDS).default(0),
});
