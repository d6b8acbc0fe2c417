import { assertInvariant, createFailure, Err, Ok } from '@chicorybend/common';
import type { Configuration, Failure, QueueSettings, Result } from '@chicorybend/common';

import type { ConfigurationView } from '../types/configurationView.js';

/** Permission to use a queue: the team to charge, and the configuration that permits it. */
export interface QueueAuthorization {
  readonly team: string;
  readonly configuration: Configuration;
}

export type QueueKind = QueueSettings['kind'];

/** Captures the key id in the text of a key. */
const KEY_ID_PATTERN = /^cb_([a-z0-9-]+)_/;
const BEARER_PREFIX_PATTERN = /^bearer +/i;

/** Retry delay for callers of a daemon that cannot confirm that its configuration is current. */
const FRESHNESS_RETRY_MILLISECONDS = 1_000;

/** Failure of a daemon that has not read any configuration yet. */
function createNoConfigurationFailure(): Failure {
  return createFailure(
    'configuration-not-fresh',
    {},
    { retryAfterMilliseconds: FRESHNESS_RETRY_MILLISECONDS },
  );
}

/**
 * Parses the key in the `authorization` header of a call.
 *
 * @param authorization value of the `authorization` header, or null
 * @returns text of the key; null without the header; `invalid-header` if it is not a bearer token
 */
export function parseBearerKey(authorization: string | null): Result<string | null, Failure> {
  if (authorization === null) return Ok(null);
  if (!BEARER_PREFIX_PATTERN.test(authorization)) {
    const reason = 'must be "Bearer <key>"';
    return Err(createFailure('invalid-header', { header: 'authorization', reason }));
  }
  return Ok(authorization.replace(BEARER_PREFIX_PATTERN, '').trim());
}

function authorizeByKey(
  view: ConfigurationView,
  queueName: string,
  queue: QueueSettings,
  authorization: string | null,
): Result<string, Failure> {
  const keyText = parseBearerKey(authorization);
  if (keyText.isErr()) return keyText;
  if (keyText.value === null) return Err(createFailure('missing-key', { queue: queueName }));
  const key = view.authenticate(keyText.value);
  if (key.isErr()) return key;
  const { team } = key.value;
  if (queue.teams && !queue.teams.includes(team)) {
    return Err(createFailure('team-not-allowed', { team, queue: queueName }));
  }
  return Ok(team);
}

/** Submissions to an open queue are charged to the queue's team; a key is ignored. */
function authorizeOpenQueue(
  configuration: Configuration,
  queue: QueueSettings,
): Result<string, Failure> {
  const team = queue.team ?? '';
  if (!Object.hasOwn(configuration.teams, team)) {
    return Err(createFailure('unknown-team', { team }));
  }
  return Ok(team);
}

/**
 * Checks that a caller may submit a job or request to a queue.
 *
 * @param queueName queue named in the body
 * @param kind kind of the job or request
 * @param authorization value of the `authorization` header, or null
 * @returns the team to charge, or the reason for the refusal
 */
export function authorizeQueueUse(
  view: ConfigurationView,
  queueName: string,
  kind: QueueKind,
  authorization: string | null,
): Result<QueueAuthorization, Failure> {
  const configuration = view.current();
  if (!configuration) return Err(createNoConfigurationFailure());
  const queue = Object.hasOwn(configuration.queues, queueName)
    ? configuration.queues[queueName]
    : undefined;
  if (!queue) return Err(createFailure('unknown-queue', { queue: queueName }));
  const team =
    queue.access === 'open'
      ? authorizeOpenQueue(configuration, queue)
      : authorizeByKey(view, queueName, queue, authorization);
  if (team.isErr()) return team;
  if (queue.kind !== kind) {
    return Err(createFailure('wrong-queue-kind', { queue: queueName, kind: queue.kind }));
  }
  return Ok({ team: team.value, configuration });
}

/**
 * Asserts, immediately before a job or request is forwarded, that it is charged to the team of its open queue or of
 * its key, and that the key is not revoked in the configuration that authorized it. Parses the key again, so that a
 * fault in the authorization is found.
 *
 * @param access result of the authorization
 * @param queueName queue named in the body
 * @param authorization value of the `authorization` header, or null
 * @throws InvariantError if another team is charged, or the key is revoked
 */
export function assertAuthorized(
  { team, configuration }: QueueAuthorization,
  queueName: string,
  authorization: string | null,
): void {
  const queue = configuration.queues[queueName];
  if (queue?.access === 'open') {
    const isCharged = queue.team === team;
    assertInvariant(
      isCharged,
      'own-team',
      () => `team ${team} is charged for open queue ${queueName} of another team`,
    );
    return;
  }
  const keyText = (authorization ?? '').replace(BEARER_PREFIX_PATTERN, '').trim();
  const [, keyId = ''] = KEY_ID_PATTERN.exec(keyText) ?? [];
  const key = configuration.keys[keyId];
  assertInvariant(
    key?.team === team,
    'own-team',
    () => `team ${team} is charged, but key ${keyId} does not belong to it`,
  );
  assertInvariant(
    key.revokedAt === undefined,
    'revoked-key',
    () => `work under the revoked key ${keyId} is forwarded`,
  );
}

/** Teams whose jobs a caller may access. */
export interface JobAuthorization {
  readonly teams: readonly string[];
  /** Whether the call carries a key; without one, only jobs of open queues are visible. */
  readonly hasKey: boolean;
}

/**
 * Finds the teams whose jobs a caller may access: the key's team, or without a key the teams charged by open queues.
 *
 * @param authorization value of the `authorization` header, or null
 * @returns the teams, or the reason for the refusal
 */
export function authorizeJobCall(
  view: ConfigurationView,
  authorization: string | null,
): Result<JobAuthorization, Failure> {
  const keyText = parseBearerKey(authorization);
  if (keyText.isErr()) return keyText;
  if (keyText.value !== null) {
    return view.authenticate(keyText.value).map((key) => ({ teams: [key.team], hasKey: true }));
  }
  const configuration = view.current();
  if (!configuration) return Err(createNoConfigurationFailure());
  const teams = Object.values(configuration.queues)
    .filter((queue) => queue.access === 'open' && queue.kind !== 'interactive')
    .flatMap((queue) => queue.team ?? []);
  return Ok({ teams: [...new Set(teams)], hasKey: false });
}
