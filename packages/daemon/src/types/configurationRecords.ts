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

/** One operation of an operator, as kept in the store. */
export interface AuditEntry {
  /** Grows by one with each entry; a missing number is a gap. */
  readonly sequence: number;
  readonly entryId: string;
  /** Entry before this one, null for the first. */
  readonly previousEntryId: string | null;
  readonly operator: string;
  /** Daemon that performed the operation. */
  readonly daemonId: string;
  readonly action: AuditAction;
  /** What the operation is about: a key or a daemon; null for a change of the document. */
  readonly subject: string | null;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly at: number;
  readonly fromRevision: number;
  /** Same as `fromRevision` for operations that change no configuration. */
  readonly toRevision: number;
  readonly sections: readonly string[];
  /** What changed, bounded in size; hashes of secrets are shortened. */
  readonly differences: readonly SectionDifference[];
  /** Changed places that did not fit. */
  readonly omittedDifferences: number;
}

/** Newest entry of the audit trail; part of the root, so that an operation and its entry become current together. */
export interface AuditPointer {
  readonly sequence: number;
  readonly entryId: string;
  /** Oldest page of entries that is still kept. */
  readonly firstPage: number;
}

/** Value of the store key `configuration/root`. */
export interface StoredRoot extends ConfigurationRoot {
  readonly audit: AuditPointer | null;
}

/** The root and the version of its key; revision 0 stands for a cell without a configuration. */
export interface VersionedRoot {
  readonly root: StoredRoot;
  /** 0 if the key is absent. */
  readonly version: number;
}

/** A whole configuration as read from the store. */
export interface ConfigurationSnapshot extends VersionedRoot {
  readonly document: ConfigurationDocument;
  /** Null at revision 0. */
  readonly configuration: Configuration | null;
}

/** Who makes a change. */
export interface OperatorIdentity {
  readonly name: string;
  /** SHA-256 of the token that was presented; null for the operator of the setting `operatorToken`. */
  readonly tokenHash: string | null;
}

/** Sections to write; null removes a section. */
export type SectionEdits = Readonly<Record<string, unknown>>;

/** Result of a change. */
export interface ChangeOutcome {
  readonly revision: number;
  /** Empty if the configuration was so already. */
  readonly changedSections: readonly string[];
  /** Number of members on which the revision is in effect. */
  readonly inEffectOn: number;
  readonly members: number;
  /** Members that did not acknowledge in time; they stop serving keyed work until they learn of the change. */
  readonly notConfirmedBy: readonly string[];
}
