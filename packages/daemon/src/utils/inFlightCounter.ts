/** Counts calls in flight, so that a stop can wait for them. */
export interface InFlightCounter {
  /** Runs a call and counts it until it ends. */
  run<Value>(call: () => Promise<Value>): Promise<Value>;
  count(): number;
  /** Resolves when no call is in flight. */
  whenIdle(): Promise<void>;
}

/**
 * Creates a count of calls in flight.
 *
 * @returns the count
 */
export function createInFlightCounter(): InFlightCounter {
  let count = 0;
  let waiters: (() => void)[] = [];

  function end(): void {
    count -= 1;
    if (count > 0) return;
    const ready = waiters;
    waiters = [];
    ready.forEach((resolve) => resolve());
  }

  return {
    async run(call) {
      count += 1;
      try {
        return await call();
      } finally {
        end();
      }
    },
    count: () => count,
    whenIdle: () =>
      new Promise((resolve) => {
        if (count === 0) resolve();
        else waiters.push(resolve);
      }),
  };
}
