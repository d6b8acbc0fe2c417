/** Counts calls in flight, so that a stop can wait for them. */
export interface InFlight {
  /** Runs a call and counts it until it ends. */
  run<Value>(call: () => Promise<Value>): Promise<Value>;
  count(): number;
  /** Resolves when no call is in flight. */
  idle(): Promise<void>;
}

/**
 * Creates a count of calls in flight.
 *
 * @returns the count
 */
export function createInFlight(): InFlight {
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
    idle: () =>
      new Promise((resolve) => {
        if (count === 0) resolve();
        else waiters.push(resolve);
      }),
  };
}
