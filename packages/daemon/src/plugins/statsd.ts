import type { Counters } from '@chicorybend/common';
import { StatsD } from 'hot-shots';

/** Counters sent to a StatsD server. */
export interface StatsdCounters extends Counters {
  close(): void;
}

/**
 * Creates counters that are sent to a StatsD server over UDP.
 *
 * @param address `<address>:<port>` of the server
 * @param daemonId value of the `daemon` tag of each metric
 */
export function createStatsdCounters(address: string, daemonId: string): StatsdCounters {
  const [host = '', port = ''] = address.split(':');
  const client = new StatsD({
    host,
    port: Number(port),
    prefix: 'chicorybend.',
    globalTags: { daemon: daemonId },
    // A metric that cannot be sent is dropped; the error must not affect the daemon.
    errorHandler: () => {},
  });
  return {
    increment(name, amount = 1, tags = {}) {
      client.increment(name, amount, { ...tags });
    },
    gauge(name, value, tags = {}) {
      client.gauge(name, value, { ...tags });
    },
    timing(name, milliseconds, tags = {}) {
      client.timing(name, milliseconds, { ...tags });
    },
    close() {
      client.close();
    },
  };
}
