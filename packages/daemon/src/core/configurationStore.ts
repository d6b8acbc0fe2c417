import {
  canonicalJson,
  createFailure,
  Err,
  Ok,
  parseConfiguration,
  sha256,
} from '@chicorybend/common';
import type { Failure, Result, StoreClient, StoreError } from '@chicorybend/common';

import type {
  ConfigurationSnapshot,
  VersionedRoot,
  SectionEdits,
  StoredRoot,
} from '../types/configurationRecords.js';

/** Store key of the root. */
export const ROOT_KEY = 'configuration/root';
const SECTIONS_PREFIX = 'configuration/sections/';

/** Why the configuration could not be read. */
export interface ConfigurationReadError {
  readonly kind: 'store' | 'invalid';
  readonly message: string;
}

/** A section in the store. The revision makes each write a distinct value, which can be deleted once replaced. */
interface StoredSection {
  readonly revision: number;
  readonly content: unknown;
}

/** Reads and writes the configuration's values in the platform's store. */
export interface ConfigurationStore {
  readRoot(deadlineMilliseconds?: number): Promise<Result<VersionedRoot, StoreError>>;
  /** Reads the root and all sections; sections that were read before come from a cache. */
  readSnapshot(
    deadlineMilliseconds?: number,
  ): Promise<Result<ConfigurationSnapshot, ConfigurationReadError>>;
  /**
   * Writes sections for a revision whose root is not written yet.
   *
   * @returns hashes of the written values, by section name
   */
  writeSections(
    revision: number,
    edits: SectionEdits,
  ): Promise<Result<Readonly<Record<string, string>>, StoreError>>;
  /** Deletes values of sections, given by name and hash, that a newer revision replaced. */
  deleteReplacedSections(sections: Readonly<Record<string, string>>): Promise<void>;
  /** Deletes values that no root can reference any more, such as those of changes that were not finished. */
  deleteUnreferencedSections(): Promise<void>;
}

/** A section may be replaced and deleted after the root was read; then the root is read again. */
const MAXIMUM_SNAPSHOT_ATTEMPTS = 4;
const EMPTY_ROOT: StoredRoot = {
  revision: 0,
  sections: {},
  changedBy: '',
  changedAt: 0,
  changedSections: [],
  lastChanges: {},
  audit: null,
};

function sectionKey(name: string, hash: string): string {
  return `${SECTIONS_PREFIX}${name}/${hash}`;
}

/**
 * Creates the failure that reports a failed read of the configuration to an operator.
 */
export function createReadFailure(error: ConfigurationReadError): Failure {
  if (error.kind === 'store') return createFailure('store-unavailable');
  return createFailure('internal-error', {
    reason: `this daemon cannot read the stored configuration: ${error.message}`,
  });
}

function toReadError(error: StoreError): ConfigurationReadError {
  return { kind: 'store', message: error.message };
}

/**
 * Creates the access to the configuration in the platform's store.
 */
export function createConfigurationStore(store: StoreClient): ConfigurationStore {
  let sectionCache = new Map<string, unknown>();
  /** Last valid snapshot. A poll that finds the same version of the root does not parse the document again. */
  let lastSnapshot: ConfigurationSnapshot | null = null;

  async function readRoot(
    deadlineMilliseconds?: number,
  ): Promise<Result<VersionedRoot, StoreError>> {
    const options = deadlineMilliseconds === undefined ? {} : { deadlineMilliseconds };
    const entry = await store.get<StoredRoot>(ROOT_KEY, options);
    return entry.map((storedRoot) =>
      storedRoot
        ? { root: storedRoot.data, version: storedRoot.version }
        : { root: EMPTY_ROOT, version: 0 },
    );
  }

  /** @returns content of each section by name, or null if one was deleted since the root was read */
  async function readSections(
    root: StoredRoot,
  ): Promise<Result<Map<string, unknown> | null, StoreError>> {
    const contents = new Map<string, unknown>();
    for (const [name, hash] of Object.entries(root.sections)) {
      if (sectionCache.has(hash)) {
        contents.set(name, sectionCache.get(hash));
      } else {
        const entry = await store.get<StoredSection>(sectionKey(name, hash));
        if (entry.isErr()) return entry;
        if (entry.value === null) return Ok(null);
        contents.set(name, entry.value.data.content);
      }
    }
    return Ok(contents);
  }

  function assembleSnapshot(
    reading: VersionedRoot,
    contents: Map<string, unknown>,
  ): Result<ConfigurationSnapshot, ConfigurationReadError> {
    const { root } = reading;
    const document = Object.fromEntries(contents);
    sectionCache = new Map(
      [...contents].map(([name, content]) => [root.sections[name] ?? '', content]),
    );
    if (root.revision === 0) return Ok({ ...reading, document, configuration: null });
    return parseConfiguration(document, root.revision)
      .map((configuration) => {
        lastSnapshot = { ...reading, document, configuration };
        return lastSnapshot;
      })
      .mapErr((faults) => ({
        kind: 'invalid' as const,
        message: faults.map((fault) => `${fault.path}: ${fault.reason}`).join('; '),
      }));
  }

  async function writeSection(
    name: string,
    value: StoredSection,
  ): Promise<Result<string, StoreError>> {
    const hash = sha256(canonicalJson(value));
    const key = sectionKey(name, hash);
    // The key contains the hash of the value, so a conflict means that the same value is stored already.
    const outcome = await store.put({ key, data: value, expectedVersion: 0 });
    return outcome.map(() => hash);
  }

  async function deleteEntry(key: string): Promise<void> {
    const entry = await store.get(key);
    if (entry.isErr() || entry.value === null) return;
    await store.delete(key, entry.value.version);
  }

  return {
    readRoot,
    async readSnapshot(deadlineMilliseconds) {
      for (let attempt = 0; attempt < MAXIMUM_SNAPSHOT_ATTEMPTS; attempt += 1) {
        const reading = await readRoot(deadlineMilliseconds);
        if (reading.isErr()) return reading.mapErr(toReadError);
        if (lastSnapshot?.version === reading.value.version) return Ok(lastSnapshot);
        const contents = await readSections(reading.value.root);
        if (contents.isErr()) return contents.mapErr(toReadError);
        if (contents.value !== null) return assembleSnapshot(reading.value, contents.value);
      }
      return Err({ kind: 'store', message: 'sections were replaced while they were read' });
    },
    async writeSections(revision, edits) {
      const hashes: Record<string, string> = {};
      for (const [name, content] of Object.entries(edits)) {
        if (content !== null) {
          const hash = await writeSection(name, { revision, content });
          if (hash.isErr()) return hash;
          hashes[name] = hash.value;
        }
      }
      return Ok(hashes);
    },
    async deleteReplacedSections(sections) {
      for (const [name, hash] of Object.entries(sections)) {
        await deleteEntry(sectionKey(name, hash));
      }
    },
    async deleteUnreferencedSections() {
      const entries = await store.list<StoredSection>(SECTIONS_PREFIX);
      const reading = await readRoot();
      if (entries.isErr() || reading.isErr()) return;
      const { root } = reading.value;
      const referencedKeys = new Set(
        Object.entries(root.sections).map(([name, hash]) => sectionKey(name, hash)),
      );
      const unreferencedEntries = entries.value.filter(
        (entry) => !referencedKeys.has(entry.key) && entry.data.revision <= root.revision,
      );
      for (const entry of unreferencedEntries) await store.delete(entry.key, entry.version);
    },
  };
}
