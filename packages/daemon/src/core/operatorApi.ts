import { createFailure, Err, nameSchema, Ok, sectionKindOf } from '@chicorybend/common';
import type { Clock, Failure, Result } from '@chicorybend/common';
import type { FastifyError, FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import type { OperatorIdentity } from '../types/configurationRecords.js';
import type { MembershipView } from '../types/membershipView.js';
import type { PartitionDirectory } from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import { createCellReports } from './cellReports.js';
import type { ConfigurationService } from './configurationService.js';
import { DEFAULT_KEYS_SECTION, describeKeyIssue, describeKeyRevocation } from './keyChanges.js';
import { createKey } from './keyring.js';
import { authenticateOperator } from './operatorAuthentication.js';
import {
  describeInvalidBody,
  describeServerError,
  sendFailure,
  sendResult,
} from './operatorFailures.js';
import { createOperatorOperations } from './operatorOperations.js';

/** Largest document that operators may send, in bytes. Sections are limited further, each on its own. */
const DOCUMENT_LIMIT_BYTES = 32 * 1_024 * 1_024;
const DEFAULT_AUDIT_ENTRIES = 100;
const MAXIMUM_AUDIT_ENTRIES = 20_000;
const STATUS_CREATED = 201;
const STATUS_ACCEPTED = 202;

const editSchema = z.strictObject({
  baseRevision: z.int().min(0),
  sections: z.record(z.string(), z.unknown()),
});
const issueSchema = z.strictObject({
  section: z
    .string()
    .refine((name) => sectionKindOf(name) === 'keys', 'must be keys or keys/<group>')
    .default(DEFAULT_KEYS_SECTION),
});
const auditQuerySchema = z.strictObject({
  limit: z.coerce.number().int().min(1).max(MAXIMUM_AUDIT_ENTRIES).default(DEFAULT_AUDIT_ENTRIES),
});
const jobsQuerySchema = z.strictObject({ team: nameSchema.optional() });
const usageQuerySchema = z.strictObject({
  team: nameSchema.optional(),
  from: z.coerce.number().int().optional(),
  to: z.coerce.number().int().optional(),
});

/** What the operators' interface needs. */
export interface OperatorApiOptions {
  readonly clock: Clock;
  /** Token of the operator `bootstrap`, from the settings. */
  readonly operatorToken: string | undefined;
  readonly configuration: ConfigurationService;
  readonly link: PeerLink;
  readonly membership: Pick<MembershipView, 'record'>;
  readonly directory: PartitionDirectory;
}

/** A call of an operator who was authenticated. */
interface OperatorCall {
  readonly operator: OperatorIdentity;
  readonly request: FastifyRequest;
  readonly reply: FastifyReply;
}

type OperatorHandler = (call: OperatorCall) => Promise<FastifyReply>;

function parseInput<Schema extends z.ZodType>(
  schema: Schema,
  input: unknown,
): Result<z.infer<Schema>, Failure> {
  const parsed = schema.safeParse(input);
  return parsed.success ? Ok(parsed.data) : Err(describeInvalidBody(parsed.error));
}

function readParameter(request: FastifyRequest, name: string): string {
  return (request.params as Readonly<Record<string, string>>)[name] ?? '';
}

/**
 * Registers the operators' routes of design section 14.
 *
 * @param server HTTP server
 * @param options configuration service, peers and the bootstrap operator's token
 */
export function registerOperatorApi(server: FastifyInstance, options: OperatorApiOptions): void {
  const { clock, configuration, link, membership, directory } = options;
  const reports = createCellReports({ link, membership, directory });
  const operations = createOperatorOperations(options);

  const operators = new WeakMap<FastifyRequest, OperatorIdentity>();

  /** Runs before the body is read, so that nobody else can send large documents. */
  async function authenticate(request: FastifyRequest, reply: FastifyReply): Promise<void> {
    const operator = authenticateOperator(
      request.headers,
      options.operatorToken,
      configuration.current(),
    );
    if (operator.isOk()) operators.set(request, operator.value);
    else await sendFailure(reply, operator.error);
  }

  function authenticated(handler: OperatorHandler) {
    return async (request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> => {
      const operator = operators.get(request);
      if (!operator) return sendFailure(reply, createFailure('operator-required'));
      return handler({ operator, request, reply });
    };
  }

  async function applyChange({ operator, request, reply }: OperatorCall): Promise<FastifyReply> {
    const edit = parseInput(editSchema, request.body);
    if (edit.isErr()) return sendFailure(reply, edit.error);
    const outcome = await configuration.change({
      operator,
      action: 'configuration.apply',
      subject: null,
      edit: () => edit,
    });
    return sendResult(reply, outcome);
  }

  async function checkChange({ operator, request, reply }: OperatorCall): Promise<FastifyReply> {
    const edit = parseInput(editSchema, request.body);
    if (edit.isErr()) return sendFailure(reply, edit.error);
    return sendResult(reply, await configuration.check(operator, edit.value));
  }

  async function issueKey({ operator, request, reply }: OperatorCall): Promise<FastifyReply> {
    const input = parseInput(issueSchema, request.body ?? {});
    if (input.isErr()) return sendFailure(reply, input.error);
    const team = readParameter(request, 'team');
    const { section } = input.value;
    const key = createKey();
    const issuedAt = clock.wallMilliseconds();
    const outcome = await configuration.change(
      describeKeyIssue({ operator, team, section, key, issuedAt }),
    );
    const { keyId, keyText } = key;
    const issued = outcome.map((change) => ({ keyId, key: keyText, team, section, ...change }));
    return sendResult(reply, issued, STATUS_CREATED);
  }

  async function revokeKey({ operator, request, reply }: OperatorCall): Promise<FastifyReply> {
    const keyId = readParameter(request, 'keyId');
    const revocation = describeKeyRevocation(operator, keyId, clock.wallMilliseconds());
    const outcome = await configuration.change(revocation);
    return sendResult(
      reply,
      outcome.map((change) => ({ keyId, ...change })),
    );
  }

  async function drainDaemon({ operator, request, reply }: OperatorCall): Promise<FastifyReply> {
    const outcome = await operations.drain(operator, readParameter(request, 'id'));
    return sendResult(reply, outcome, STATUS_ACCEPTED);
  }

  async function liftQuarantine({ operator, request, reply }: OperatorCall): Promise<FastifyReply> {
    return sendResult(reply, await operations.lift(operator, readParameter(request, 'id')));
  }

  async function releaseJob({ operator, request, reply }: OperatorCall): Promise<FastifyReply> {
    return sendResult(reply, await operations.release(operator, readParameter(request, 'id')));
  }

  async function readDocument({ reply }: OperatorCall): Promise<FastifyReply> {
    const document = await configuration.readDocument();
    const inEffectHere = configuration.current()?.revision ?? 0;
    const isFreshHere = configuration.isFresh();
    return sendResult(
      reply,
      document.map((value) => ({ ...value, inEffectHere, isFreshHere })),
    );
  }

  async function readHistory({ reply }: OperatorCall): Promise<FastifyReply> {
    return sendResult(reply, await configuration.history());
  }

  async function readAudit({ request, reply }: OperatorCall): Promise<FastifyReply> {
    const query = parseInput(auditQuerySchema, request.query);
    if (query.isErr()) return sendFailure(reply, query.error);
    return sendResult(reply, await configuration.audit(query.value.limit));
  }

  async function listDaemons({ reply }: OperatorCall): Promise<FastifyReply> {
    return reply.send({ rows: await reports.daemons() });
  }

  async function listWorkers({ reply }: OperatorCall): Promise<FastifyReply> {
    return reply.send(await reports.workers());
  }

  async function listJobs({ request, reply }: OperatorCall): Promise<FastifyReply> {
    const query = parseInput(jobsQuerySchema, request.query);
    if (query.isErr()) return sendFailure(reply, query.error);
    return reply.send(await reports.jobs(query.value.team ?? null));
  }

  async function readUsage({ request, reply }: OperatorCall): Promise<FastifyReply> {
    const query = parseInput(usageQuerySchema, request.query);
    if (query.isErr()) return sendFailure(reply, query.error);
    return reply.send(await reports.usage(query.value));
  }

  function addRoutes(scope: FastifyInstance): void {
    const large = { bodyLimit: DOCUMENT_LIMIT_BYTES };
    scope.get('/v1/configuration', authenticated(readDocument));
    scope.post('/v1/configuration/check', large, authenticated(checkChange));
    scope.post('/v1/configuration/apply', large, authenticated(applyChange));
    scope.get('/v1/configuration/history', authenticated(readHistory));
    scope.post('/v1/teams/:team/keys', authenticated(issueKey));
    scope.delete('/v1/keys/:keyId', authenticated(revokeKey));
    scope.get('/v1/daemons', authenticated(listDaemons));
    scope.post('/v1/daemons/:id/drain', authenticated(drainDaemon));
    scope.post('/v1/workers/:id/lift', authenticated(liftQuarantine));
    scope.post('/v1/jobs/:id/release', authenticated(releaseJob));
    scope.get('/v1/workers', authenticated(listWorkers));
    scope.get('/v1/jobs', authenticated(listJobs));
    scope.get('/v1/usage', authenticated(readUsage));
    scope.get('/v1/audit', authenticated(readAudit));
  }

  // A scope of its own keeps the error handler away from other routes.
  server.register(async (scope) => {
    scope.setErrorHandler((error: FastifyError, request, reply) => {
      const limitBytes = request.routeOptions.bodyLimit ?? DOCUMENT_LIMIT_BYTES;
      return sendFailure(reply, describeServerError(error, limitBytes));
    });
    scope.removeContentTypeParser('text/plain');
    scope.addHook('onRequest', authenticate);
    addRoutes(scope);
  });
}
