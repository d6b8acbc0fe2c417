import type { VmRecord } from '@chicorybend/common';

/** The platform's VM list as last read. */
export interface VmDirectory {
  /** @returns workers in the list, including leaving ones */
  workers(): readonly VmRecord[];
  /** @returns endpoints in the list, including leaving ones */
  endpoints(): readonly VmRecord[];
  /** Calls a function after each reading that differs from the one before. */
  onChange(listener: () => void): void;
}
