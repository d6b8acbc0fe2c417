import type { VmRecord } from '@chicorybend/common';

/** VM list of the platform, as last read. */
export interface VmDirectory {
  /** @returns workers in the list, including leaving ones */
  workers(): readonly VmRecord[];
  /** @returns endpoints in the list, including leaving ones */
  endpoints(): readonly VmRecord[];
  /**
   * Tells whether the platform has certainly ended an entry VM (a VM that runs a daemon). This holds if the list
   * contains the VM of this daemon but not the VM in question.
   *
   * @param daemonId identity of the daemon, which is the identity of its VM
   */
  isEntryVmGone(daemonId: string): boolean;
  /** Registers a function that is called after each reading that differs from the one before. */
  onChange(listener: () => void): void;
}
