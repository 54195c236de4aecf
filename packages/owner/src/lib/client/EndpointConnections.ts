import http from 'node:http'
import { CONTROL_CONNECTIONS } from '../endpoints/controlConnections'

/**
 * Idle connections are closed after this. On a busy endpoint, heartbeats and lease renewals recur
 * within this time. Closing idle connections avoids reuse of one that a device on the network path
 * may have dropped from its state.
 */
const IDLE_LIMIT_MS = 1500

/**
 * The connection pool for one endpoint, bounded by the owner's share of the endpoint's connections:
 * most for running tasks, a persistent one for stops and lease renewals, and a single-use one for
 * probes and second attempts.
 *
 * @internal
 */
export class EndpointConnections {
  readonly run = keepAliveAgent()
  private readonly persistentControl = keepAliveAgent()
  private readonly singleUse = new http.Agent({ keepAlive: false, maxSockets: 1 })
  private limit = 1

  constructor(maxConnections: number) {
    this.persistentControl.maxSockets = 1
    this.setLimit(maxConnections)
  }

  setLimit(maxConnections: number): void {
    this.limit = Math.max(1, maxConnections)
    this.run.maxSockets = Math.max(1, this.limit - CONTROL_CONNECTIONS)
    this.run.maxFreeSockets = this.run.maxSockets
  }

  /** For stops and lease renewals. A small limit leaves no room for a persistent connection. */
  get control(): http.Agent {
    return this.limit > CONTROL_CONNECTIONS ? this.persistentControl : this.fresh
  }

  /** Opens a new connection for each request. */
  get fresh(): http.Agent {
    return this.limit > 1 ? this.singleUse : this.run
  }

  /** Number of open sockets, including idle ones. */
  get open(): number {
    return [this.run, this.persistentControl, this.singleUse].reduce(
      (sum, agent) => sum + countSockets(agent),
      0,
    )
  }

  /**
   * Closes idle connections. Deferred to the next event loop turn, since a connection becomes idle
   * only after the turn in which its answer was read.
   */
  closeIdle(): void {
    setImmediate(() => {
      for (const agent of [this.run, this.persistentControl]) {
        for (const socket of Object.values(agent.freeSockets).flat()) socket?.destroy()
      }
    })
  }

  close(): void {
    for (const agent of [this.run, this.persistentControl, this.singleUse]) agent.destroy()
  }
}

function keepAliveAgent(): http.Agent {
  // LIFO reuses the most recently used connection, so that the others reach their idle timeout.
  return new http.Agent({ keepAlive: true, timeout: IDLE_LIMIT_MS, scheduling: 'lifo' })
}

function countSockets(agent: http.Agent): number {
  const all = [...Object.values(agent.sockets), ...Object.values(agent.freeSockets)]
  return all.reduce((sum, sockets) => sum + (sockets?.length ?? 0), 0)
}
