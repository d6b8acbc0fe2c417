/** Thrown when an internal invariant is violated. It stops the process. */
export class InvariantError extends Error {
  /**
   * @param invariantId identifier of the invariant, as listed in docs/invariants.md
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
 * @param invariantId identifier of the invariant, as listed in docs/invariants.md
 * @param describe creates the error message; only called if the condition is false
 * @throws InvariantError if the condition is false
 */
export function assertInvariant(
  condition: boolean,
  invariantId: string,
  describe: () => string,
): asserts condition {
  if (!condition) throw new InvariantError(invariantId, describe());
}
