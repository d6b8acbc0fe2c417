import { createFailure } from '@chicorybend/common';
import type { Failure, FailureDetail, Result } from '@chicorybend/common';
import type { FastifyError, FastifyReply } from 'fastify';
import type { z } from 'zod';

import type { PeerError } from '../types/peer.js';

/**
 * Sends a failure with the body of design section 14.
 *
 * @param reply reply to send
 * @param failure failure to describe
 * @returns the reply
 */
export function sendFailure(reply: FastifyReply, failure: Failure): FastifyReply {
  const { status, ...body } = failure;
  return reply.status(status).send(body);
}

/**
 * Sends the value of a result, or its failure.
 *
 * @param reply reply to send
 * @param result outcome of the call
 * @param status HTTP status on success
 * @returns the reply
 */
export function sendResult(
  reply: FastifyReply,
  result: Result<unknown, Failure>,
  status = 200,
): FastifyReply {
  if (result.isErr()) return sendFailure(reply, result.error);
  return reply.status(status).send(result.value);
}

/**
 * Describes a body or query that does not match its schema.
 *
 * @param error error of the schema
 * @returns the failure
 */
export function describeInvalidBody(error: z.ZodError): Failure {
  const details = error.issues.map((issue): FailureDetail => ({
    path: issue.path.join('.'),
    reason: issue.message,
  }));
  return createFailure('invalid-body', {}, { details });
}

/**
 * Describes a call to a daemon that gave no value.
 *
 * @param daemonId daemon that was called
 * @param error error of the call
 * @returns the failure
 */
export function describePeerError(daemonId: string, error: PeerError): Failure {
  if (error.kind === 'refused') return error.failure;
  return createFailure(error.kind === 'lost' ? 'peer-lost' : 'peer-unreachable', { daemonId });
}

/**
 * Describes an error of the HTTP server.
 *
 * @param error error raised while the call was read or handled
 * @param limitBytes limit of the body in bytes
 * @returns the failure
 */
export function describeServerError(error: FastifyError, limitBytes: number): Failure {
  switch (error.statusCode) {
    case 413:
      return createFailure('body-too-large', { limit: limitBytes });
    case 415:
      return createFailure('unsupported-media-type');
    case 400:
      return createFailure('malformed-json', { reason: error.message });
    default:
      return createFailure('internal-error', { reason: error.message });
  }
}
