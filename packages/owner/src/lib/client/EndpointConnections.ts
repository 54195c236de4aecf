import http from 'node:http'
import { CONTROL_CONNECTIONS } from '../endpoints/connectionShares'

/**
 * Idle connections are closed after this. Heartbeats and leases pass within it on a busy endpoint,
 * and a path that lost track of a connection is not met with an old one.
 */
const IDLE_LIMIT_MS = 1500

/**
 * The connections to one endpoint, never more than its share: most for running tasks, one kept
 * open for stops and leases, and one that is made anew each time, for probes and second tries.
 *
 * @internal
 */
export class EndpointConnections {
  readonly run = keepAliveAgent()
  private readonly kept = keepAliveAgent()
  private readonly single = new http.Agent({ keepAlive: false, maxSockets: 1 })
  private share = 1

  constructor(share: number) {
    this.kept.maxSockets = 1
    this.setShare(share)
  }

  setShare(share: number): void {
    this.share = Math.max(1, share)
    this.run.maxSockets = Math.max(1, this.share - CONTROL_CONNECTIONS)
    this.run.maxFreeSockets = this.run.maxSockets
  }

  /** For stops and leases. A small share has no room for a connection that stays open. */
  get control(): http.Agent {
    return this.share > CONTROL_CONNECTIONS ? this.kept : this.fresh
  }

  /** Opens a new connection for each request. */
  get fresh(): http.Agent {
    return this.share > 1 ? this.single : this.run
  }

  /** Sockets that are open now, idle ones included. */
  get open(): number {
    return [this.run, this.kept, this.single].reduce((sum, agent) => sum + countSockets(agent), 0)
  }

  /** A connection whose answer was just read is idle only after this turn. */
  closeIdle(): void {
    setImmediate(() => {
      for (const agent of [this.run, this.kept]) {
        for (const socket of Object.values(agent.freeSockets).flat()) socket?.destroy()
      }
    })
  }

  close(): void {
    for (const agent of [this.run, this.kept, this.single]) agent.destroy()
  }
}

function keepAliveAgent(): http.Agent {
  // The last used connection first: the others reach their idle limit.
  return new http.Agent({ keepAlive: true, timeout: IDLE_LIMIT_MS, scheduling: 'lifo' })
}

function countSockets(agent: http.Agent): number {
  const all = [...Object.values(agent.sockets), ...Object.values(agent.freeSockets)]
  return all.reduce((sum, sockets) => sum + (sockets?.length ?? 0), 0)
}
