/** Largest nesting depth of a body. Deeper documents would exhaust the stack when they are serialised again. */
export const MAXIMUM_JSON_DEPTH = 100;

/**
 * Checks without parsing whether a JSON text nests deeper than a limit.
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
