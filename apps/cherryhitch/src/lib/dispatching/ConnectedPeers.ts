/** Since when the links to other instances are connected, or are not any more. @internal */
export class ConnectedPeers {
  private readonly connectedAt = new Map<string, number>()
  private readonly disconnectedAt = new Map<string, number>()

  /** Names of the connected instances. */
  get names(): readonly string[] {
    return [...this.connectedAt.keys()]
  }

  /** Returns for how long the instance was disconnected, in milliseconds; undefined if it is new. */
  onConnected(now: number, peer: string): number | undefined {
    const since = this.disconnectedAt.get(peer)
    this.disconnectedAt.delete(peer)
    this.connectedAt.set(peer, now)
    return since === undefined ? undefined : Math.round(now - since)
  }

  /** Returns for how long the instance was connected, in milliseconds. */
  onDisconnected(now: number, peer: string): number {
    const since = this.connectedAt.get(peer) ?? now
    this.connectedAt.delete(peer)
    this.disconnectedAt.set(peer, now)
    return Math.round(now - since)
  }

  /** Forgets the instances that are no peers any more. */
  keepOnly(peers: readonly string[]): void {
    const kept = new Set(peers)
    for (const times of [this.connectedAt, this.disconnectedAt]) {
      for (const name of times.keys()) if (!kept.has(name)) times.delete(name)
    }
  }
}
