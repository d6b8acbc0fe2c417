import { nameSchema, Ok, sectionKindOf } from '@chicorybend/common';
import type { Clock, Failure, Result } from '@chicorybend/common';
import { z } from 'zod';

import type { OperatorIdentity } from '../types/configurationRecords.js';
import type {
  HttpCall,
  HttpReply,
  HttpRoute,
  HttpRouteRegistry,
  ReadHeader,
} from '../types/http.js';
import type { MembershipView } from '../types/membershipView.js';
import type { PartitionDirectory } from '../types/partition.js';
import type { PeerLink } from '../types/peer.js';
import { createCellReports } from './cellReports.js';
import type { ConfigurationService } from './configurationService.js';
import {
  DEFAULT_KEYS_SECTION,
  createKeyIssueChange,
  createKeyRevocationChange,
} from './keyChanges.js';
import { createKey } from './keyring.js';
import { authenticateOperator } from './operatorAuthentication.js';
import { createOperatorOperations } from './operatorOperations.js';

/** Largest configuration document that operators may send, in bytes. Each section has a lower limit of its own. */
const DOCUMENT_LIMIT_BYTES = 32 * 1_024 * 1_024;
const DEFAULT_AUDIT_ENTRIES = 100;
const MAXIMUM_AUDIT_ENTRIES = 20_000;
const STATUS_OK = 200;
const STATUS_CREATED = 201;
const STATUS_ACCEPTED = 202;

const configurationEditSchema = z.strictObject({
  baseRevision: z.int().min(0),
  sections: z.record(z.string(), z.unknown()),
});
const keyIssueSchema = z.preprocess(
  (body) => body ?? {},
  z.strictObject({
    section: z
      .string()
      .refine((name) => sectionKindOf(name) === 'keys', 'must be keys or keys/<group>')
      .default(DEFAULT_KEYS_SECTION),
  }),
);
const auditQuerySchema = z.strictObject({
  limit: z.coerce.number().int().min(1).max(MAXIMUM_AUDIT_ENTRIES).default(DEFAULT_AUDIT_ENTRIES),
});
const jobsQuerySchema = z.strictObject({ team: nameSchema.optional() });
const usageQuerySchema = z.strictObject({
  team: nameSchema.optional(),
  from: z.coerce.number().int().optional(),
  to: z.coerce.number().int().optional(),
});

/** Dependencies of the HTTP interface for operators. */
export interface OperatorApiOptions {
  readonly clock: Clock;
  /** Token of the operator `bootstrap`, from the settings. */
  readonly operatorToken: string | undefined;
  readonly configuration: ConfigurationService;
  readonly link: PeerLink;
  readonly membership: Pick<MembershipView, 'record'>;
  readonly directory: PartitionDirectory;
}

/** A call of an authenticated operator. */
interface OperatorCall<Body, Query> extends HttpCall<Body, Query> {
  readonly operator: OperatorIdentity;
}

/** A route for operators; its handler returns the body of the response. */
interface OperatorRoute<Body, Query> extends Pick<
  HttpRoute<Body, Query>,
  'method' | 'path' | 'bodySchema' | 'querySchema' | 'bodyLimitBytes'
> {
  /** HTTP status of a success; 200 by default. */
  readonly status?: number;
  handle(call: OperatorCall<Body, Query>): Promise<Result<unknown, Failure>>;
}

type Edit = z.infer<typeof configurationEditSchema>;

/**
 * Registers the routes for operators: configuration, operations and reports (section 14 of the design). Each call
 * is authenticated before its body is read.
 */
export function registerOperatorApi(routes: HttpRouteRegistry, options: OperatorApiOptions): void {
  const { clock, configuration, link, membership, directory } = options;
  const reports = createCellReports({ link, membership, directory });
  const operations = createOperatorOperations(options);

  function authenticate(header: ReadHeader): Result<OperatorIdentity, Failure> {
    return authenticateOperator(header, options.operatorToken, configuration.current());
  }

  function register<Body = undefined, Query = undefined>(route: OperatorRoute<Body, Query>): void {
    const { status = STATUS_OK, handle, ...routeOptions } = route;
    routes.register<Body, Query>({
      ...routeOptions,
      authorize: authenticate,
      async handle(call): Promise<Result<HttpReply, Failure>> {
        // The operator may have been removed while the body was received.
        const operator = authenticate(call.header);
        if (operator.isErr()) return operator;
        const outcome = await handle({ ...call, operator: operator.value });
        return outcome.map((body) => ({ status, body }));
      },
    });
  }

  async function issueKey(
    call: OperatorCall<{ section: string }, undefined>,
  ): Promise<Result<unknown, Failure>> {
    const { operator, params, body } = call;
    const { team = '' } = params;
    const { section } = body;
    const key = createKey();
    const issuedAt = clock.wallMilliseconds();
    const outcome = await configuration.change(
      createKeyIssueChange({ operator, team, section, key, issuedAt }),
    );
    const { keyId, keyText } = key;
    return outcome.map((change) => ({ keyId, key: keyText, team, section, ...change }));
  }

  async function revokeKey(
    call: OperatorCall<undefined, undefined>,
  ): Promise<Result<unknown, Failure>> {
    const { operator, params } = call;
    const { keyId = '' } = params;
    const revocation = createKeyRevocationChange(operator, keyId, clock.wallMilliseconds());
    const outcome = await configuration.change(revocation);
    return outcome.map((change) => ({ keyId, ...change }));
  }

  async function readDocument(): Promise<Result<unknown, Failure>> {
    const document = await configuration.readDocument();
    const inEffectHere = configuration.current()?.revision ?? 0;
    const isFreshHere = configuration.isFresh();
    return document.map((value) => ({ ...value, inEffectHere, isFreshHere }));
  }

  function registerConfiguration(): void {
    const editRoute = {
      method: 'POST',
      bodySchema: configurationEditSchema,
      bodyLimitBytes: DOCUMENT_LIMIT_BYTES,
    } as const;
    register({ method: 'GET', path: '/v1/configuration', handle: readDocument });
    register<Edit>({
      ...editRoute,
      path: '/v1/configuration/check',
      handle: ({ operator, body }) => configuration.check(operator, body),
    });
    register<Edit>({
      ...editRoute,
      path: '/v1/configuration/apply',
      handle: ({ operator, body }) =>
        configuration.change({
          operator,
          action: 'configuration.apply',
          subject: null,
          edit: () => Ok(body),
        }),
    });
    register({
      method: 'GET',
      path: '/v1/configuration/history',
      handle: () => configuration.history(),
    });
    register<{ section: string }>({
      method: 'POST',
      path: '/v1/teams/:team/keys',
      bodySchema: keyIssueSchema,
      status: STATUS_CREATED,
      handle: issueKey,
    });
    register({ method: 'DELETE', path: '/v1/keys/:keyId', handle: revokeKey });
    register<undefined, z.infer<typeof auditQuerySchema>>({
      method: 'GET',
      path: '/v1/audit',
      querySchema: auditQuerySchema,
      handle: ({ query }) => configuration.audit(query.limit),
    });
  }

  function registerOperations(): void {
    register({
      method: 'POST',
      path: '/v1/daemons/:id/drain',
      status: STATUS_ACCEPTED,
      handle: ({ operator, params }) => operations.drainDaemon(operator, params.id ?? ''),
    });
    register({
      method: 'POST',
      path: '/v1/workers/:id/lift',
      handle: ({ operator, params }) => operations.liftQuarantine(operator, params.id ?? ''),
    });
    register({
      method: 'POST',
      path: '/v1/jobs/:id/release',
      handle: ({ operator, params }) => operations.releaseJob(operator, params.id ?? ''),
    });
  }

  function registerReports(): void {
    register({
      method: 'GET',
      path: '/v1/daemons',
      handle: async () => Ok({ rows: await reports.daemons() }),
    });
    register({
      method: 'GET',
      path: '/v1/workers',
      handle: async () => Ok(await reports.workers()),
    });
    register<undefined, z.infer<typeof jobsQuerySchema>>({
      method: 'GET',
      path: '/v1/jobs',
      querySchema: jobsQuerySchema,
      handle: async ({ query }) => Ok(await reports.jobs(query.team ?? null)),
    });
    register<undefined, z.infer<typeof usageQuerySchema>>({
      method: 'GET',
      path: '/v1/usage',
      querySchema: usageQuerySchema,
      handle: async ({ query }) => Ok(await reports.usage(query)),
    });
  }

  registerConfiguration();
  registerOperations();
  registerReports();
}
