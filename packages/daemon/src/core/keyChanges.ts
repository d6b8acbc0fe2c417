import { createFailure, Err, Ok, sectionKindOf } from '@chicorybend/common';
import type { Failure, KeysSection, Result } from '@chicorybend/common';

import type { ConfigurationSnapshot, OperatorIdentity } from '../types/configurationRecords.js';
import type { ChangeRequest } from './configurationChange.js';
import type { RequestedEdit } from './configurationEdit.js';
import type { NewKey } from './keyring.js';

/** Configuration section for new keys if the operator names none. */
export const DEFAULT_KEYS_SECTION = 'keys';

/** A new key, and the team and configuration section that it is added to. */
export interface KeyIssueRequest {
  readonly operator: OperatorIdentity;
  readonly team: string;
  readonly section: string;
  readonly key: NewKey;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly issuedAt: number;
}

function readKeys(snapshot: ConfigurationSnapshot, section: string): KeysSection {
  return (snapshot.document[section] ?? {}) as KeysSection;
}

function addKey(
  snapshot: ConfigurationSnapshot,
  issue: KeyIssueRequest,
): Result<RequestedEdit, Failure> {
  const { team, section, key, issuedAt } = issue;
  if (!snapshot.configuration?.teams[team]) return Err(createFailure('unknown-team', { team }));
  const record = {
    team,
    secretHash: key.secretHash,
    issuedAt,
    issuedBy: issue.operator.name,
  };
  return Ok({
    baseRevision: snapshot.root.revision,
    sections: { [section]: { ...readKeys(snapshot, section), [key.keyId]: record } },
  });
}

function revokeKey(
  snapshot: ConfigurationSnapshot,
  keyId: string,
  revokedAt: number,
): Result<RequestedEdit, Failure> {
  const section = Object.keys(snapshot.document).find(
    (name) => sectionKindOf(name) === 'keys' && Object.hasOwn(readKeys(snapshot, name), keyId),
  );
  const keys = section === undefined ? {} : readKeys(snapshot, section);
  const record = keys[keyId];
  if (section === undefined || !record) return Err(createFailure('unknown-key', { keyId }));
  const revoked = record.revokedAt === undefined ? { ...record, revokedAt } : record;
  return Ok({
    baseRevision: snapshot.root.revision,
    sections: { [section]: { ...keys, [keyId]: revoked } },
  });
}

/**
 * Creates the configuration change that adds a key. It fails with `unknown-team` if the team does not exist.
 */
export function createKeyIssueChange(issue: KeyIssueRequest): ChangeRequest {
  return {
    operator: issue.operator,
    action: 'keys.issue',
    subject: issue.key.keyId,
    edit: (snapshot) => addKey(snapshot, issue),
  };
}

/**
 * Creates the configuration change that revokes a key. A key that is already revoked keeps its time of revocation; an
 * unknown key fails with `unknown-key`.
 *
 * @param revokedAt wall-clock time in milliseconds since the Unix epoch
 */
export function createKeyRevocationChange(
  operator: OperatorIdentity,
  keyId: string,
  revokedAt: number,
): ChangeRequest {
  return {
    operator,
    action: 'keys.revoke',
    subject: keyId,
    edit: (snapshot) => revokeKey(snapshot, keyId, revokedAt),
  };
}
