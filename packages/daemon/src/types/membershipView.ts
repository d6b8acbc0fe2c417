/** A daemon process in the membership record. */
export interface Member {
  readonly daemonId: string;
  /** Identity of the process; new after each restart. */
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

/** Status of another member according to its last heartbeat or its last answer to one. */
export interface PeerStatus {
  readonly daemonId: string;
  /** Monotonic time at which the last heartbeat or answer was received, in milliseconds. */
  readonly lastHeartbeatAt: number;
  readonly configurationRevision: number;
  /**
   * Lower bound of the time at which the member last confirmed that its configuration is current, on the monotonic
   * clock of this daemon, in milliseconds.
   */
  readonly configurationConfirmedAt: number;
  readonly isDraining: boolean;
}

/** Members of the cell and their state, as known to this daemon. */
export interface MembershipView {
  readonly selfId: string;
  /** @returns newest known membership record, or null before the first one is known */
  record(): MembershipRecord | null;
  /** @returns members with a recent heartbeat, this daemon included */
  liveMembers(): readonly Member[];
  /** @returns last known status of each other member */
  peerStatuses(): readonly PeerStatus[];
  /** @returns whether a majority of the members, this daemon included, has sent a heartbeat recently */
  isInContactWithMajority(): boolean;
  /** @returns whether this daemon may act as an owner now */
  mayAct(): boolean;
}
