/** Deepest nesting of a body. Deeper documents would exhaust the stack when they are written again. */
export const MAXIMUM_JSON_DEPTH = 100;

/**
 * Tells whether a JSON text nests deeper than a limit, without parsing it.
 *
 * @param text JSON text
 * @param limit deepest allowed nesting
 * @returns whether the limit is exceeded
 */
export function isDeeperThan(text: string, limit: number): boolean {
  let depth = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index += 1) {
    const character = text[index];
    if (isInString) {
      if (character === '\\') index += 1;
      else if (character === '"') isInString = false;
    } else if (character === '"') isInString = true;
    else if (character === '{' || character === '[') {
      depth += 1;
      if (depth > limit) return true;
    } else if (character === '}' || character === ']') depth -= 1;
  }
  return false;
}
