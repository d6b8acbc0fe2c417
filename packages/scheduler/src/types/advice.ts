/** Proof that an endpoint may run a step. */
export interface AdviceTicket {
  readonly endpointId: string;
  readonly ticket: string;
}

/** Outcome of asking which endpoints may run a step. */
export type AdviceOutcome =
  | {
      readonly kind: 'answered';
      readonly tickets: readonly AdviceTicket[];
      readonly validMilliseconds: number;
    }
  | { readonly kind: 'failed'; readonly reason: string };

/** Service that knows which endpoints may run a step; handles one call of each VM at a time. */
export interface AdviceClient {
  /**
   * @param stepId step, as `<job>.<occurrence>.<step>`
   * @param endpointIds endpoints to ask about
   * @param timeoutMilliseconds limit of the call, in milliseconds
   */
  advise(
    stepId: string,
    endpointIds: readonly string[],
    timeoutMilliseconds: number,
  ): Promise<AdviceOutcome>;
}
