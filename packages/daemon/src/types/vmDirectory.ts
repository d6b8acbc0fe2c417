import type { VmRecord } from '@chicorybend/common';

/** The platform's VM list as last read. */
export interface VmDirectory {
  /** @returns workers in the list, including leaving ones */
  workers(): readonly VmRecord[];
  /** @returns endpoints in the list, including leaving ones */
  endpoints(): readonly VmRecord[];
  /**
   * Tells whether the platform has certainly ended an entry VM: the list shows entry VMs, and not this one.
   *
   * @param daemonId identity of the daemon, which is the identity of its VM
   */
  isEntryVmGone(daemonId: string): boolean;
  /** Calls a function after each reading that differs from the one before. */
  onChange(listener: () => void): void;
}
