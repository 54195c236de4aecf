import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Exchange } from '../exchange/Exchange'

/** Open connections and the exchanges in progress on each. @internal */
export class ConnectionTable {
  /** TCP sockets; with TLS these are not the sockets on which requests arrive. */
  private readonly sockets = new Set<Socket>()
  private readonly exchanges = new Map<Duplex, Set<Exchange>>()
  private inProgress = 0
  private readonly idleWaiters = new Set<() => void>()

  /** Tracks a TCP connection until it closes. */
  accept(socket: Socket): void {
    this.sockets.add(socket)
    socket.once('close', () => this.sockets.delete(socket))
  }

  /** Tracks a connection that can carry requests (after any TLS handshake) until it closes. */
  open(socket: Socket): void {
    this.exchanges.set(socket, new Set())
    socket.once('close', () => {
      this.close(socket)
    })
  }

  begin(socket: Socket, exchange: Exchange): void {
    const pending = this.exchanges.get(socket)
    if (pending === undefined) return
    pending.add(exchange)
    this.inProgress += 1
  }

  end(socket: Socket, exchange: Exchange): void {
    const removed = this.exchanges.get(socket)?.delete(exchange) ?? false
    if (removed) this.subtract(1)
  }

  /** Number of exchanges in progress on a connection; undefined before it is open. */
  pending(socket: Duplex): number | undefined {
    return this.exchanges.get(socket)?.size
  }

  /** Whether no later exchange has begun on the same connection. */
  isNewest(socket: Socket, exchange: Exchange): boolean {
    return [...(this.exchanges.get(socket) ?? [])].at(-1) === exchange
  }

  connections(): number {
    return this.sockets.size
  }

  requestsInProgress(): number {
    return this.inProgress
  }

  /** Calls back once no exchange is in progress; returns a function that cancels the callback. */
  whenIdle(callback: () => void): () => void {
    if (this.inProgress === 0) callback()
    else this.idleWaiters.add(callback)
    return () => this.idleWaiters.delete(callback)
  }

  /** Number of requests for which no response has been written. */
  unanswered(): number {
    const all = [...this.exchanges.values()].flatMap((pending) => [...pending])
    return all.filter((exchange) => !exchange.isEnded()).length
  }

  /** Closes the connections that have no request in progress. */
  closeIdle(): void {
    for (const [socket, pending] of this.exchanges) {
      if (pending.size === 0) closeAfterFlush(socket)
    }
  }

  /** Closes each connection once its written data has been flushed. */
  closeAll(): void {
    for (const socket of this.exchanges.keys()) closeAfterFlush(socket)
  }

  destroyAll(): void {
    for (const socket of this.sockets) socket.destroy()
  }

  /** Abandons the unanswered exchanges of a closed connection. */
  private close(socket: Socket): void {
    const pending = [...(this.exchanges.get(socket) ?? [])]
    for (const exchange of pending) exchange.abandon()
    // The remaining exchanges were answered, but the connection closed before the flush.
    const unflushed = this.exchanges.get(socket)?.size ?? 0
    this.exchanges.delete(socket)
    this.subtract(unflushed)
  }

  private subtract(count: number): void {
    if (count === 0) return
    this.inProgress -= count
    if (this.inProgress === 0) this.notifyIdleWaiters()
  }

  private notifyIdleWaiters(): void {
    const waiters = [...this.idleWaiters]
    this.idleWaiters.clear()
    for (const notify of waiters) notify()
  }
}

/** Closes both directions, since a request received after `end` could not be answered. */
function closeAfterFlush(socket: Duplex): void {
  socket.end(() => {
    socket.destroy()
  })
}
