/** Requests that read and change the configuration, shared by the commands. */
import type { ConfigurationDocument, Result } from '@chicorybend/common';

import type { ConfigurationEdit } from './configurationFile.js';
import type { Problem } from './problem.js';
import { DONE } from './session.js';
import type { CommandOutcome, Session } from './session.js';

/** Response body of `GET /v1/configuration`. */
export interface StoredConfiguration {
  readonly revision: number;
  readonly sections: ConfigurationDocument;
}

/** Response body of every request that changes the configuration. */
export interface ChangeResponse {
  readonly revision: number;
  readonly changedSections: readonly string[];
  readonly inEffectOn: number;
  readonly members: number;
  readonly notConfirmedBy: readonly string[];
}

/** Formats for people on how many daemons a change is in effect, and which have not confirmed it. */
export function formatChange(response: ChangeResponse): string {
  const effect = `Revision ${response.revision} is in effect on ${response.inEffectOn} of ${response.members} daemons.`;
  if (response.notConfirmedBy.length === 0) return effect;
  return `${effect}\nNot confirmed by ${response.notConfirmedBy.join(', ')}; these serve no requests or jobs with keys until they have it.`;
}

export function readConfiguration(session: Session): Promise<Result<StoredConfiguration, Problem>> {
  return session.callAsOperator<StoredConfiguration>({ method: 'GET', path: '/v1/configuration' });
}

/** Applies a configuration change and prints on how many daemons it is in effect. */
export async function applyEdit(
  session: Session,
  edit: ConfigurationEdit,
): Promise<CommandOutcome> {
  const response = await session.callAsOperator<ChangeResponse>({
    method: 'POST',
    path: '/v1/configuration/apply',
    body: edit,
  });
  if (response.isErr()) return response;
  const hasChanges = response.value.changedSections.length > 0;
  const text = formatChange(response.value);
  session.show(response.value, hasChanges ? text : `Nothing had to change. ${text}`);
  return DONE;
}
