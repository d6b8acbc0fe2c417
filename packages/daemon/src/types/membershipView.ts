/** A daemon in the membership record. */
export interface Member {
  readonly daemonId: string;
  /** Differs for each process. */
  readonly incarnation: string;
  /** `<address>:<port>` of the peer link. */
  readonly peerAddress: string;
  /** Base address of the HTTP interface. */
  readonly apiAddress: string;
  readonly dataCentre: string;
}

/** Value of the store key `membership`. */
export interface MembershipRecord {
  readonly version: number;
  readonly members: readonly Member[];
}

/** What this daemon last heard from a member. */
export interface PeerStatus {
  readonly daemonId: string;
  /** Monotonic time at which the last heartbeat or answer was heard, in milliseconds. */
  readonly lastHeartbeatAt: number;
  readonly configurationRevision: number;
  /**
   * Monotonic time on this daemon's clock, in milliseconds, at which the member's last confirmation of its
   * configuration certainly had been made or later.
   */
  readonly configurationConfirmedAt: number;
  readonly isDraining: boolean;
}

/** The daemons of the cell as this daemon sees them. */
export interface MembershipView {
  readonly selfId: string;
  /** @returns the membership record as last learnt, or null before the first reading */
  record(): MembershipRecord | null;
  /** @returns members that were heard recently, this daemon included */
  liveMembers(): readonly Member[];
  /** @returns last reports of the other members */
  peerStatuses(): readonly PeerStatus[];
  /** @returns whether a majority of the members, this daemon included, was heard recently */
  isInContactWithMajority(): boolean;
  /** @returns whether this daemon may act as an owner now */
  mayAct(): boolean;
}
