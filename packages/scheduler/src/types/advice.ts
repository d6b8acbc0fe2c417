/** Ticket of the advice service that lets an endpoint run the tasks of a step. */
export interface AdviceTicket {
  readonly endpointId: string;
  readonly ticket: string;
}

/** Answer of the advice service; endpoints without a ticket are not eligible for the step. */
export type AdviceOutcome =
  | {
      readonly kind: 'answered';
      readonly tickets: readonly AdviceTicket[];
      readonly validMilliseconds: number;
    }
  | { readonly kind: 'failed'; readonly reason: string };

/** Client of the service that decides which endpoints may run a step. The service accepts one call per VM at a time. */
export interface AdviceClient {
  /**
   * @param stepId step, as `<job>.<occurrence>.<step>`
   * @param endpointIds endpoints to check
   * @param timeoutMilliseconds timeout of the call, in milliseconds
   */
  advise(
    stepId: string,
    endpointIds: readonly string[],
    timeoutMilliseconds: number,
  ): Promise<AdviceOutcome>;
}
