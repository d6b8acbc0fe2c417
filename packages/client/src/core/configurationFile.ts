import { canonicalJson, Err, Ok, sha256 } from '@chicorybend/common';
import type { ConfigurationDocument, Result } from '@chicorybend/common';
import { z } from 'zod';

import type { Problem } from './problem.js';
import { usageProblem } from './problem.js';
import type { Session } from './session.js';

const fileSchema = z.strictObject({
  revision: z.int().min(0).optional(),
  sections: z.record(z.string(), z.unknown()),
  /** SHA-256 of each section when the file was written, to find the sections that were edited since. */
  digests: z.record(z.string(), z.string()).optional(),
});

/** Request body of `POST /v1/configuration/apply`. */
export interface ConfigurationEdit {
  readonly baseRevision: number;
  readonly sections: ConfigurationDocument;
}

function computeDigest(content: unknown): string {
  return sha256(canonicalJson(content));
}

/**
 * Creates the content of a configuration file, which `config check`, `diff` and `apply` read.
 *
 * @param revision revision from which the sections were read
 */
export function createFileContent(revision: number, sections: ConfigurationDocument): object {
  const digests = Object.entries(sections).map(([name, content]) => [name, computeDigest(content)]);
  return { revision, sections, digests: Object.fromEntries(digests) };
}

function parseJson(text: string): Result<unknown, string> {
  try {
    return Ok(JSON.parse(text));
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

async function readText(session: Session, path: string): Promise<Result<string, string>> {
  try {
    return Ok(await session.environment.readFile(path));
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

/** Reads a JSON file; a file that cannot be read or parsed is a usage problem. */
export async function readJsonFile(
  session: Session,
  path: string,
): Promise<Result<unknown, Problem>> {
  const text = await readText(session, path);
  return text
    .andThen(parseJson)
    .mapErr((reason) => usageProblem(`${path} cannot be read: ${reason}.`));
}

/**
 * Reads a configuration file as a change. Sections that have not been edited since the file was written are left
 * out, so that the change does not revert what other operators changed in them.
 *
 * @param baseRevision revision that the change is based on, instead of the one in the file
 * @returns the change, or a usage problem if the file is invalid or no revision is given
 */
export async function readEdit(
  session: Session,
  path: string,
  baseRevision: number | undefined,
): Promise<Result<ConfigurationEdit, Problem>> {
  const content = await readJsonFile(session, path);
  if (content.isErr()) return content;
  const parsed = fileSchema.safeParse(content.value);
  if (!parsed.success) {
    const reasons = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
    return Err(
      usageProblem(
        `${path} is not a valid configuration file: ${reasons.join('; ')}.`,
        'Write one with "chicorybend config get --output <file>".',
      ),
    );
  }
  const { sections, digests = {}, revision } = parsed.data;
  const base = baseRevision ?? revision;
  if (base === undefined) {
    return Err(
      usageProblem(
        `${path} does not contain a revision.`,
        'Set --base-revision to the revision that you edited.',
      ),
    );
  }
  const edited = Object.entries(sections).filter(
    ([name, value]) => digests[name] !== computeDigest(value),
  );
  return Ok({ baseRevision: base, sections: Object.fromEntries(edited) });
}
