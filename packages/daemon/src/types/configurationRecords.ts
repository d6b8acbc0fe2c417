import type {
  Configuration,
  ConfigurationDocument,
  ConfigurationRoot,
  SectionDifference,
} from '@chicorybend/common';

/** Operations that the audit trail records. */
export type AuditAction =
  | 'configuration.apply'
  | 'keys.issue'
  | 'keys.revoke'
  | 'daemon.drain'
  | 'job.release'
  | 'worker.lift';

/** An operation of an operator, as stored in the audit trail. */
export interface AuditEntry {
  /** Increases by one with each entry; a missing number is a gap in the trail. */
  readonly sequence: number;
  readonly entryId: string;
  /** Id of the entry before this one; null for the first. */
  readonly previousEntryId: string | null;
  readonly operator: string;
  /** Daemon that performed the operation. */
  readonly daemonId: string;
  readonly action: AuditAction;
  /** Id of the key, daemon, job or worker that the operation applies to; null for a change of the document. */
  readonly subject: string | null;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly at: number;
  readonly fromRevision: number;
  /** Same as `fromRevision` for operations that change no configuration. */
  readonly toRevision: number;
  readonly sections: readonly string[];
  /** Changed values, limited in size; hashes of secrets are shortened. */
  readonly differences: readonly SectionDifference[];
  /** Number of changed values that exceed the size limit. */
  readonly omittedDifferences: number;
}

/**
 * Reference to the newest entry of the audit trail. It is part of the root, so that a change and its entry become
 * current with the same write.
 */
export interface AuditPointer {
  readonly sequence: number;
  readonly entryId: string;
  /** Number of the oldest page of entries that is still stored. */
  readonly firstPage: number;
}

/** Value of the store key `configuration/root`. */
export interface StoredRoot extends ConfigurationRoot {
  readonly audit: AuditPointer | null;
}

/** The root with the version of its store entry. Revision 0 stands for a cell without a configuration. */
export interface VersionedRoot {
  readonly root: StoredRoot;
  /** Version for the compare-and-swap; 0 if the entry is absent. */
  readonly version: number;
}

/** A complete configuration as read from the store: root, document and parsed form. */
export interface ConfigurationSnapshot extends VersionedRoot {
  readonly document: ConfigurationDocument;
  /** Null at revision 0. */
  readonly configuration: Configuration | null;
}

/** An authenticated operator. */
export interface OperatorIdentity {
  readonly name: string;
  /** SHA-256 of the token that was presented; null for the operator of the setting `operatorToken`. */
  readonly tokenHash: string | null;
}

/** New content of sections by name; null removes a section. */
export type SectionEdits = Readonly<Record<string, unknown>>;

/** Result of a change, after the wait for it to be in effect on the members. */
export interface ChangeOutcome {
  readonly revision: number;
  /** Empty if the configuration already had the requested content. */
  readonly changedSections: readonly string[];
  /** Number of members on which the revision is in effect. */
  readonly inEffectOn: number;
  readonly members: number;
  /** Members that did not acknowledge in time. They stop serving keyed work until they have read the change. */
  readonly notConfirmedBy: readonly string[];
}
