/** Outcome of a read of the data centres that the operator has taken out of service. */
export type EvacuationOutcome =
  | {
      readonly kind: 'answered';
      /** Names as the operator wrote them; an unknown one has no effect. */
      readonly dataCentres: ReadonlySet<string>;
      /** Revision of the store that the answer reflects. */
      readonly revision: number;
    }
  | { readonly kind: 'failed'; readonly reason: string };

/** Source of the data centres that are out of service. */
export interface EvacuationSource {
  /**
   * Reads the current entries. The answer reflects every change that was confirmed before the call.
   *
   * @param timeoutMilliseconds timeout of the call, in milliseconds
   */
  read(timeoutMilliseconds: number): Promise<EvacuationOutcome>;
}

/** How a deployment takes data centres out of service. */
export interface EvacuationSettings {
  readonly source: EvacuationSource;
  /** Time after the confirmation of an entry from which no run may begin in its data centre, in milliseconds. */
  readonly boundMilliseconds: number;
}
