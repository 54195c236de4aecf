import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Exchange } from '../exchange/Exchange'

/** Open connections and the exchanges in progress on each. @internal */
export class ConnectionTable {
  /** TCP sockets; below TLS they are others than those that requests come by. */
  private readonly sockets = new Set<Socket>()
  private readonly exchanges = new Map<Duplex, Set<Exchange>>()
  private inProgress = 0
  private readonly idleWaiters = new Set<() => void>()

  /** Follows a TCP connection until it closes. */
  accept(socket: Socket): void {
    this.sockets.add(socket)
    socket.once('close', () => this.sockets.delete(socket))
  }

  /** Follows a connection that requests can come by until it closes. */
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

  /** Exchanges of one connection that are not answered; undefined before it was open. */
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

  /** Calls back when no exchange is in progress; returns how to give up waiting. */
  whenIdle(callback: () => void): () => void {
    if (this.inProgress === 0) callback()
    else this.idleWaiters.add(callback)
    return () => this.idleWaiters.delete(callback)
  }

  /** Requests that nothing was written for yet. */
  unanswered(): number {
    const all = [...this.exchanges.values()].flatMap((pending) => [...pending])
    return all.filter((exchange) => !exchange.isEnded()).length
  }

  /** Closes the connections on which no answer is awaited or being sent. */
  closeIdle(): void {
    for (const [socket, pending] of this.exchanges) {
      if (pending.size === 0) closeWhenSent(socket)
    }
  }

  /** Closes each connection once what was written to it has been sent. */
  closeAll(): void {
    for (const socket of this.exchanges.keys()) closeWhenSent(socket)
  }

  destroyAll(): void {
    for (const socket of this.sockets) socket.destroy()
  }

  /** All that the client of a closed connection waited for is abandoned. */
  private close(socket: Socket): void {
    const pending = [...(this.exchanges.get(socket) ?? [])]
    for (const exchange of pending) exchange.abandon()
    // What is left was answered, but the connection closed before it was all sent.
    const unsent = this.exchanges.get(socket)?.size ?? 0
    this.exchanges.delete(socket)
    this.subtract(unsent)
  }

  private subtract(count: number): void {
    if (count === 0) return
    this.inProgress -= count
    if (this.inProgress === 0) this.wakeWaiters()
  }

  private wakeWaiters(): void {
    const waiters = [...this.idleWaiters]
    this.idleWaiters.clear()
    for (const wake of waiters) wake()
  }
}

/** Ends both directions: a request that came after it could not be answered. */
function closeWhenSent(socket: Duplex): void {
  socket.end(() => {
    socket.destroy()
  })
}
