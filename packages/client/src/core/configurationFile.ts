import { canonicalJson, Err, Ok, sha256 } from '@chicorybend/common';
import type { ConfigurationDocument, Result } from '@chicorybend/common';
import { z } from 'zod';

import type { Problem } from './problem.js';
import { usageProblem } from './problem.js';
import type { Session } from './session.js';

const fileSchema = z.strictObject({
  revision: z.int().min(0).optional(),
  sections: z.record(z.string(), z.unknown()),
  /** SHA-256 of each section as it was read; tells which sections were edited since. */
  digests: z.record(z.string(), z.string()).optional(),
});

/** A change as `POST /v1/configuration/apply` takes it. */
export interface ConfigurationEdit {
  readonly baseRevision: number;
  readonly sections: ConfigurationDocument;
}

function computeDigest(content: unknown): string {
  return sha256(canonicalJson(content));
}

/**
 * Writes the content of a configuration file.
 *
 * @param revision revision that was read
 * @param sections sections to write
 * @returns content for `config check`, `diff` and `apply`
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

/**
 * Reads a JSON file.
 *
 * @param session run of the client
 * @param path path of the file
 * @returns content, or why it cannot be read
 */
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
 * Reads a configuration file as a change. Sections that were not edited since they were read are left out.
 *
 * @param session run of the client
 * @param path path of the file
 * @param baseRevision revision that the change is based on, instead of the one in the file
 * @returns the change, or what is wrong with the file
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
        `${path} is no configuration file: ${reasons.join('; ')}.`,
        'Write one with "chicorybend config get --output <file>".',
      ),
    );
  }
  const { sections, digests = {}, revision } = parsed.data;
  const base = baseRevision ?? revision;
  if (base === undefined) {
    return Err(
      usageProblem(
        `${path} names no revision.`,
        'Set --base-revision to the revision that you edited.',
      ),
    );
  }
  const edited = Object.entries(sections).filter(
    ([name, value]) => digests[name] !== computeDigest(value),
  );
  return Ok({ baseRevision: base, sections: Object.fromEntries(edited) });
}
