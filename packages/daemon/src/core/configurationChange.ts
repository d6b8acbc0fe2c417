import { createFailure, Err, Ok } from '@chicorybend/common';
import type { Clock, Configuration, Failure, Result } from '@chicorybend/common';

import type {
  AuditAction,
  AuditPointer,
  ConfigurationSnapshot,
  OperatorIdentity,
  SectionEdits,
  StoredRoot,
} from '../types/configurationRecords.js';
import type { AuditEntryContent, AuditTrail } from './audit.js';
import { truncateDifferences } from './auditDifferences.js';
import { checkEdit, checkPermissions } from './configurationEdit.js';
import type { CheckedEdit, RequestedEdit } from './configurationEdit.js';
import { createReadFailure } from './configurationStore.js';
import type { ConfigurationStore } from './configurationStore.js';
import type { RootWriter, SwapOutcome } from './rootWriter.js';

/** A change that loses the race against a change of other sections is retried on the newer revision. */
const MAXIMUM_CHANGE_ATTEMPTS = 8;
/**
 * Latest time for sending the write of the root, in milliseconds after the announcement of the revocations. It
 * leaves 4 s of the 10 s for which announced revocations are enforced.
 */
const ROOT_WRITE_TIMEOUT_MILLISECONDS = 6_000;

/** A change of the configuration that an operator requests. */
export interface ChangeRequest {
  readonly operator: OperatorIdentity;
  readonly action: AuditAction;
  readonly subject: string | null;
  /** Computes the new sections from the current configuration; called again if another change is written first. */
  edit(snapshot: ConfigurationSnapshot): Result<RequestedEdit, Failure>;
}

/** An operation that changes no configuration but is recorded in the audit trail. */
export interface OperationRecord {
  readonly operator: OperatorIdentity;
  readonly action: AuditAction;
  readonly subject: string;
  /** Section that the operator must have permission to change. */
  readonly section: string;
}

/** A change that was written to the store. */
export interface WrittenChange {
  readonly root: StoredRoot;
  readonly configuration: Configuration | null;
  /** Empty if the configuration already had the requested content. */
  readonly changedSections: readonly string[];
  /** Monotonic time before the change was written, in milliseconds. */
  readonly writtenAfter: number;
  /** Hashes of the replaced section values, by section name; their store entries can be deleted. */
  readonly replacedSections: Readonly<Record<string, string>>;
}

/** Writes configuration changes and audit entries to the store. */
export interface ConfigurationChanger {
  /** Checks a change against the current configuration and writes it; retried if another change comes first. */
  change(request: ChangeRequest): Promise<Result<WrittenChange, Failure>>;
  record(operation: OperationRecord): Promise<Result<void, Failure>>;
}

export interface ConfigurationChangerOptions {
  readonly clock: Clock;
  readonly daemonId: string;
  readonly configurationStore: ConfigurationStore;
  readonly audit: AuditTrail;
  readonly rootWriter: RootWriter;
  /**
   * Announces revocations to the members before they are written.
   *
   * @returns whether a majority of the members enforces them
   */
  announceRevocations(revokedKeys: readonly string[]): Promise<boolean>;
}

function replacedHashes(
  root: StoredRoot,
  names: readonly string[],
): Readonly<Record<string, string>> {
  const replaced = names.flatMap((name) => {
    const hash = root.sections[name];
    return hash === undefined ? [] : [[name, hash] as const];
  });
  return Object.fromEntries(replaced);
}

function mergeHashes(
  previousHashes: Readonly<Record<string, string>>,
  edits: SectionEdits,
  written: Readonly<Record<string, string>>,
): Readonly<Record<string, string>> {
  const unchanged = Object.entries(previousHashes).filter(([name]) => !Object.hasOwn(edits, name));
  return { ...Object.fromEntries(unchanged), ...written };
}

function createSwapFailure(outcome: Exclude<SwapOutcome, { kind: 'written' }>): Failure {
  if (outcome.kind === 'unknown') return createFailure('configuration-unknown');
  if (outcome.kind === 'no-effect') return createFailure('store-unavailable');
  return createFailure('configuration-busy');
}

/**
 * Creates the writer of configuration changes. A change writes its sections and audit entry under keys that no root
 * names yet, and then makes both current with one compare-and-swap of the root.
 */
export function createConfigurationChanger(
  options: ConfigurationChangerOptions,
): ConfigurationChanger {
  const { clock, configurationStore, audit, rootWriter } = options;

  function describeChange(
    request: ChangeRequest,
    snapshot: ConfigurationSnapshot,
    edit: CheckedEdit,
  ): AuditEntryContent {
    return {
      operator: request.operator.name,
      daemonId: options.daemonId,
      action: request.action,
      subject: request.subject,
      at: clock.wallMilliseconds(),
      fromRevision: snapshot.root.revision,
      toRevision: snapshot.root.revision + 1,
      sections: Object.keys(edit.edits),
      ...truncateDifferences(edit.differences),
    };
  }

  function buildNextRoot(
    request: ChangeRequest,
    snapshot: ConfigurationSnapshot,
    edit: CheckedEdit,
    written: Readonly<Record<string, string>>,
    pointer: AuditPointer,
  ): StoredRoot & { audit: AuditPointer } {
    const { root } = snapshot;
    const revision = root.revision + 1;
    const changedSections = Object.keys(edit.edits);
    const lastChange = { revision, changedBy: request.operator.name };
    return {
      revision,
      sections: mergeHashes(root.sections, edit.edits, written),
      changedBy: request.operator.name,
      changedAt: clock.wallMilliseconds(),
      changedSections,
      lastChanges: {
        ...root.lastChanges,
        ...Object.fromEntries(changedSections.map((name) => [name, lastChange])),
      },
      audit: pointer,
    };
  }

  /** Writes the sections and the audit entry, then the root that makes them current. */
  async function writeChange(
    request: ChangeRequest,
    snapshot: ConfigurationSnapshot,
    edit: CheckedEdit,
    sendBefore: number,
  ): Promise<{ outcome: SwapOutcome; root: StoredRoot }> {
    const failed = (message: string) => ({
      outcome: { kind: 'no-effect' as const, message },
      root: snapshot.root,
    });
    const revision = snapshot.root.revision + 1;
    const written = await configurationStore.writeSections(revision, edit.edits);
    if (written.isErr()) return failed(written.error.message);
    const pointer = await audit.prepare(snapshot.root, describeChange(request, snapshot, edit));
    if (pointer.isErr()) return failed(pointer.error.message);
    const root = buildNextRoot(request, snapshot, edit, written.value, pointer.value);
    const outcome = await rootWriter.swap({
      root,
      expectedVersion: snapshot.version,
      sendBefore,
    });
    return { outcome, root };
  }

  /** @returns the written change, a failure, or null if another change was written first */
  async function attemptChange(
    request: ChangeRequest,
  ): Promise<Result<WrittenChange | null, Failure>> {
    const writtenAfter = clock.monotonicMilliseconds();
    const reading = await configurationStore.readSnapshot();
    if (reading.isErr()) return Err(createReadFailure(reading.error));
    const snapshot = reading.value;
    const edit = request
      .edit(snapshot)
      .andThen((requested) => checkEdit(snapshot, request.operator, requested));
    if (edit.isErr()) return edit;
    const changedSections = Object.keys(edit.value.edits);
    if (changedSections.length === 0) {
      const { root, configuration } = snapshot;
      return Ok({ root, configuration, changedSections, writtenAfter, replacedSections: {} });
    }
    const sendBefore = clock.monotonicMilliseconds() + ROOT_WRITE_TIMEOUT_MILLISECONDS;
    if (!(await options.announceRevocations(edit.value.revokedKeys))) {
      return Err(createFailure('announcement-refused'));
    }
    const { outcome, root } = await writeChange(request, snapshot, edit.value, sendBefore);
    if (outcome.kind === 'lost') return Ok(null);
    if (outcome.kind !== 'written') return Err(createSwapFailure(outcome));
    return Ok({
      root,
      configuration: edit.value.configuration,
      changedSections,
      writtenAfter,
      replacedSections: replacedHashes(snapshot.root, changedSections),
    });
  }

  /** @returns success, a failure, or null if another change was written first */
  async function attemptOperationRecord(
    operation: OperationRecord,
  ): Promise<Result<true | null, Failure>> {
    const reading = await configurationStore.readSnapshot();
    if (reading.isErr()) return Err(createReadFailure(reading.error));
    const { root, version, configuration } = reading.value;
    const allowed = checkPermissions(operation.operator, configuration, [operation.section]);
    if (allowed.isErr()) return allowed;
    const pointer = await audit.prepare(root, {
      operator: operation.operator.name,
      daemonId: options.daemonId,
      action: operation.action,
      subject: operation.subject,
      at: clock.wallMilliseconds(),
      fromRevision: root.revision,
      toRevision: root.revision,
      sections: [],
      differences: [],
      omittedDifferences: 0,
    });
    if (pointer.isErr()) return Err(createFailure('store-unavailable'));
    const outcome = await rootWriter.swap({
      root: { ...root, audit: pointer.value },
      expectedVersion: version,
      sendBefore: clock.monotonicMilliseconds() + ROOT_WRITE_TIMEOUT_MILLISECONDS,
    });
    if (outcome.kind === 'lost') return Ok(null);
    return outcome.kind === 'written' ? Ok(true) : Err(createSwapFailure(outcome));
  }

  async function retryOnConflict<Value>(
    attempt: () => Promise<Result<Value | null, Failure>>,
  ): Promise<Result<Value, Failure>> {
    for (let attempts = 0; attempts < MAXIMUM_CHANGE_ATTEMPTS; attempts += 1) {
      const outcome = await attempt();
      if (outcome.isErr()) return outcome;
      if (outcome.value !== null) return Ok(outcome.value);
    }
    return Err(createSwapFailure({ kind: 'lost' }));
  }

  return {
    change: (request) => retryOnConflict(() => attemptChange(request)),
    async record(operation) {
      const recorded = await retryOnConflict(() => attemptOperationRecord(operation));
      return recorded.map(() => undefined);
    },
  };
}
