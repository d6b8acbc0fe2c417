/**
 * Reads and changes of the configuration, as the commands share them.
 */
import type { ConfigurationDocument, Result } from '@chicorybend/common';

import type { ConfigurationEdit } from './configurationFile.js';
import type { Problem } from './problem.js';
import { DONE } from './session.js';
import type { CommandOutcome, Session } from './session.js';

/** Answer of `GET /v1/configuration`. */
export interface StoredConfiguration {
  readonly revision: number;
  readonly sections: ConfigurationDocument;
}

/** Answer of a change of the configuration. */
export interface ChangeResponse {
  readonly revision: number;
  readonly changedSections: readonly string[];
  readonly inEffectOn: number;
  readonly members: number;
  readonly notConfirmedBy: readonly string[];
}

/**
 * Describes a change that was made.
 *
 * @param answer answer of the daemon
 * @returns text for people
 */
export function formatChange(answer: ChangeResponse): string {
  const effect = `Revision ${answer.revision} is in effect on ${answer.inEffectOn} of ${answer.members} daemons.`;
  if (answer.notConfirmedBy.length === 0) return effect;
  return `${effect}\nNot confirmed by ${answer.notConfirmedBy.join(', ')}; these serve no keyed work until they have it.`;
}

/**
 * Reads the stored configuration.
 *
 * @param session run of the client
 * @returns revision and sections
 */
export function readConfiguration(session: Session): Promise<Result<StoredConfiguration, Problem>> {
  return session.callAsOperator<StoredConfiguration>({ method: 'GET', path: '/v1/configuration' });
}

/**
 * Makes a change of the configuration and shows where it is in effect.
 *
 * @param session run of the client
 * @param edit revision and sections
 * @returns outcome of the command
 */
export async function applyEdit(
  session: Session,
  edit: ConfigurationEdit,
): Promise<CommandOutcome> {
  const answer = await session.callAsOperator<ChangeResponse>({
    method: 'POST',
    path: '/v1/configuration/apply',
    body: edit,
  });
  if (answer.isErr()) return answer;
  const isChanged = answer.value.changedSections.length > 0;
  const text = formatChange(answer.value);
  session.show(answer.value, isChanged ? text : `Nothing had to change. ${text}`);
  return DONE;
}
