import { createFailure } from '@chicorybend/common';
import type { Failure } from '@chicorybend/common';

import type { PeerError } from '../types/peer.js';

/**
 * Creates the failure that reports a call to a daemon that returned no value.
 *
 * @param daemonId daemon that was called
 * @returns the failure of the peer itself, or `peer-lost` or `peer-unreachable`
 */
export function createPeerFailure(daemonId: string, error: PeerError): Failure {
  if (error.kind === 'refused') return error.failure;
  return createFailure(error.kind === 'lost' ? 'peer-lost' : 'peer-unreachable', { daemonId });
}
