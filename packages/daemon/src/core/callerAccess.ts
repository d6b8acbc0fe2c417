import { assertInvariant, createFailure, Err, Ok } from '@chicorybend/common';
import type { Configuration, Failure, QueueSettings, Result } from '@chicorybend/common';

import type { ConfigurationView } from '../types/configurationView.js';

/** A queue that a caller may use, and the team that the work is for. */
export interface QueueAuthorization {
  readonly team: string;
  readonly configuration: Configuration;
}

/** Kinds of work that a queue may take. */
export type QueueKind = QueueSettings['kind'];

/** The key id in the text of a key. */
const KEY_ID_PATTERN = /^cb_([a-z0-9-]+)_/;
const BEARER_PREFIX_PATTERN = /^bearer +/i;

/** When to ask again at a daemon that cannot confirm its configuration, in milliseconds. */
const FRESHNESS_RETRY_MILLISECONDS = 1_000;

/** Creates the refusal of a daemon that has read no configuration yet. */
function createNoConfigurationFailure(): Failure {
  return createFailure(
    'configuration-not-fresh',
    {},
    { retryAfterMilliseconds: FRESHNESS_RETRY_MILLISECONDS },
  );
}

/**
 * Reads the key of a call.
 *
 * @param authorization value of the `authorization` header, or null
 * @returns text of the key, null if there is none, or `invalid-header`
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

/** Work of an open queue is charged to the queue's team, whatever key comes with it. */
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
 * Checks that a caller may submit work to a queue.
 *
 * @param view configuration in effect
 * @param queueName queue named in the body
 * @param kind kind of the work
 * @param authorization value of the `authorization` header, or null
 * @returns team that the work is for, or why it is refused
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
 * Asserts right before work is passed on that it is charged to the team of its queue or its key, and that the key is
 * not revoked in the configuration that allowed it. Reads the key again instead of trusting the authorization.
 *
 * @param access what the authorization gave
 * @param queueName queue named in the body
 * @param authorization value of the `authorization` header, or null
 * @throws InvariantError if the team or the key is not the right one
 */
export function assertAuthorized(
  { team, configuration }: QueueAuthorization,
  queueName: string,
  authorization: string | null,
): void {
  const queue = configuration.queues[queueName];
  if (queue?.access === 'open') {
    const isCharged = queue.team === team;
    assertInvariant(isCharged, 'own-team', () => `${team} is charged for queue ${queueName}`);
    return;
  }
  const keyText = (authorization ?? '').replace(BEARER_PREFIX_PATTERN, '').trim();
  const [, keyId = ''] = KEY_ID_PATTERN.exec(keyText) ?? [];
  const key = configuration.keys[keyId];
  assertInvariant(key?.team === team, 'own-team', () => `${team} is charged for key ${keyId}`);
  assertInvariant(
    key.revokedAt === undefined,
    'revoked-key',
    () => `work under the revoked key ${keyId} is passed on`,
  );
}

/** Whose jobs a call may see. */
export interface JobAuthorization {
  readonly teams: readonly string[];
  /** Without a key, only jobs of open queues may be seen. */
  readonly hasKey: boolean;
}

/**
 * Finds the teams whose jobs a caller may see: the key's team, or the teams that open queues charge.
 *
 * @param view configuration in effect
 * @param authorization value of the `authorization` header, or null
 * @returns the teams, or why the call is refused
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
