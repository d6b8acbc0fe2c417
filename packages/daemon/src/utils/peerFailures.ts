import { createFailure } from '@chicorybend/common';
import type { Failure } from '@chicorybend/common';

import type { PeerError } from '../types/peer.js';

/**
 * Describes a call to a daemon that gave no value.
 *
 * @param daemonId daemon that was called
 * @param error error of the call
 * @returns the failure
 */
export function createPeerFailure(daemonId: string, error: PeerError): Failure {
  if (error.kind === 'refused') return error.failure;
  return createFailure(error.kind === 'lost' ? 'peer-lost' : 'peer-unreachable', { daemonId });
}
