/** Thrown when an internal invariant does not hold. It stops the process. */
export class InvariantError extends Error {
  /**
   * @param invariantId identifier of the invariant, as listed in docs/invariants.md
   * @param message what was found
   */
  constructor(
    readonly invariantId: string,
    message: string,
  ) {
    super(`invariant ${invariantId}: ${message}`);
    this.name = 'InvariantError';
  }
}

/**
 * Checks an internal invariant.
 *
 * @param condition what must be true
 * @param invariantId identifier of the invariant, as listed in docs/invariants.md
 * @param describe gives the text for the error
 * @throws InvariantError if the condition is false
 */
export function assertInvariant(
  condition: boolean,
  invariantId: string,
  describe: () => string,
): asserts condition {
  if (!condition) throw new InvariantError(invariantId, describe());
}
