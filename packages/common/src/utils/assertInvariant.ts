/** Thrown when an internal invariant does not hold. It stops the process. */
export class InvariantError extends Error {
  /**
   * @param promise identifier of the invariant, as listed in docs/invariants.md
   * @param message what was found
   */
  constructor(
    readonly promise: string,
    message: string,
  ) {
    super(`invariant ${promise}: ${message}`);
    this.name = 'InvariantError';
  }
}

/**
 * Checks an internal invariant.
 *
 * @param condition what must be true
 * @param promise identifier of the invariant, as listed in docs/invariants.md
 * @param describe gives the text for the error
 * @throws InvariantError if the condition is false
 */
export function assertInvariant(
  condition: boolean,
  promise: string,
  describe: () => string,
): asserts condition {
  if (!condition) throw new InvariantError(promise, describe());
}
