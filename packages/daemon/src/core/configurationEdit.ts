import { createFailure, diffDocuments, Err, Ok, parseConfiguration } from '@chicorybend/common';
import type {
  Configuration,
  ConfigurationDocument,
  Failure,
  FailureDetail,
  Result,
  SectionDifference,
} from '@chicorybend/common';

import type {
  ConfigurationSnapshot,
  OperatorIdentity,
  SectionEdits,
} from '../types/configurationRecords.js';

/** A change as requested by an operator, not yet validated. */
export interface RequestedEdit {
  /** Revision that the change is based on; later changes of the same sections by others are conflicts. */
  readonly baseRevision: number;
  readonly sections: SectionEdits;
}

/** A change that was validated against the current configuration. */
export interface CheckedEdit {
  readonly document: ConfigurationDocument;
  readonly configuration: Configuration;
  /** Sections that differ from the current ones. */
  readonly edits: SectionEdits;
  readonly differences: readonly SectionDifference[];
  /** Ids of keys that are valid now and that the change revokes or removes. */
  readonly revokedKeys: readonly string[];
}

function applyEdits(
  document: ConfigurationDocument,
  sections: SectionEdits,
): ConfigurationDocument {
  const merged = new Map(Object.entries(document));
  Object.entries(sections).forEach(([name, content]) => {
    if (content === null) merged.delete(name);
    else merged.set(name, content);
  });
  return Object.fromEntries(merged);
}

/**
 * Checks whether an operator has permission to change all given sections.
 *
 * @param configuration current configuration, null if there is none
 * @returns success, or `operator-required` or `section-not-allowed`
 */
export function checkPermissions(
  operator: OperatorIdentity,
  configuration: Configuration | null,
  sections: readonly string[],
): Result<void, Failure> {
  if (operator.tokenHash === null) return Ok(undefined);
  const record = configuration?.operators[operator.name];
  // Authentication may have used an older revision, and the operator may have been removed or changed since.
  if (record?.tokenHash !== operator.tokenHash) return Err(createFailure('operator-required'));
  const forbidden = sections.find(
    (section) => !record.sections.includes('*') && !record.sections.includes(section),
  );
  if (forbidden === undefined) return Ok(undefined);
  return Err(createFailure('section-not-allowed', { operator: operator.name, section: forbidden }));
}

/** Fails with `configuration-conflict` if a section was changed after the revision that the change is based on. */
function checkConflicts(
  snapshot: ConfigurationSnapshot,
  baseRevision: number,
  sections: readonly string[],
): Result<void, Failure> {
  const { lastChanges } = snapshot.root;
  const section = sections.find((name) => (lastChanges[name]?.revision ?? 0) > baseRevision);
  const change = section === undefined ? undefined : lastChanges[section];
  if (section === undefined || change === undefined) return Ok(undefined);
  return Err(
    createFailure('configuration-conflict', {
      section,
      changedBy: change.changedBy,
      revision: change.revision,
      base: baseRevision,
    }),
  );
}

/** Checks that no key changes its team or secret and that no revoked key becomes valid again. */
function checkKeyHistory(before: Configuration | null, after: Configuration): FailureDetail[] {
  return Object.entries(before?.keys ?? {}).flatMap(([keyId, former]) => {
    const next = after.keys[keyId];
    if (!next) return [];
    const faults: FailureDetail[] = [];
    if (next.team !== former.team || next.secretHash !== former.secretHash) {
      faults.push({ path: `keys.${keyId}`, reason: 'team and secret of a key cannot change' });
    }
    if (former.revokedAt !== undefined && next.revokedAt === undefined) {
      faults.push({
        path: `keys.${keyId}.revokedAt`,
        reason: 'a revoked key cannot be made valid again; issue a new key',
      });
    }
    return faults;
  });
}

function findRevokedKeys(before: Configuration | null, after: Configuration): readonly string[] {
  return Object.entries(before?.keys ?? {})
    .filter(([, record]) => record.revokedAt === undefined)
    .map(([keyId]) => keyId)
    .filter((keyId) => {
      const next = after.keys[keyId];
      return !next || next.revokedAt !== undefined;
    });
}

function createInvalidConfigurationFailure(details: readonly FailureDetail[]): Failure {
  return createFailure('invalid-configuration', {}, { details });
}

function checkBaseRevision(
  snapshot: ConfigurationSnapshot,
  baseRevision: number,
): Result<void, Failure> {
  const { revision } = snapshot.root;
  if (baseRevision <= revision) return Ok(undefined);
  return Err(
    createInvalidConfigurationFailure([
      {
        path: 'baseRevision',
        reason: `revision ${baseRevision} does not exist; the newest is ${revision}`,
      },
    ]),
  );
}

/**
 * Validates a change as a whole against the current configuration: base revision, permissions, conflicts, the
 * resulting document and the history of its keys. Sections with unchanged content are left out, so that a change
 * that was applied already can be sent again.
 *
 * @returns the validated change, or the failure of the first check that did not pass
 */
export function checkEdit(
  snapshot: ConfigurationSnapshot,
  operator: OperatorIdentity,
  requested: RequestedEdit,
): Result<CheckedEdit, Failure> {
  const document = applyEdits(snapshot.document, requested.sections);
  const differences = diffDocuments(snapshot.document, document);
  const changed = differences.map((difference) => difference.section);
  const permitted = checkBaseRevision(snapshot, requested.baseRevision)
    .andThen(() => checkPermissions(operator, snapshot.configuration, changed))
    .andThen(() => checkConflicts(snapshot, requested.baseRevision, changed));
  if (permitted.isErr()) return permitted;
  const parsed = parseConfiguration(document, snapshot.root.revision + 1);
  if (parsed.isErr()) return Err(createInvalidConfigurationFailure(parsed.error));
  const faults = checkKeyHistory(snapshot.configuration, parsed.value);
  if (faults.length > 0) return Err(createInvalidConfigurationFailure(faults));
  return Ok({
    document,
    configuration: parsed.value,
    edits: Object.fromEntries(changed.map((name) => [name, document[name] ?? null])),
    differences,
    revokedKeys: findRevokedKeys(snapshot.configuration, parsed.value),
  });
}
