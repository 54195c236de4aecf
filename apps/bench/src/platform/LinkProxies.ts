import net from 'node:net'
import type { PlatformNode } from './PlatformNode'

/** One connection between two nodes. */
interface Connection {
  readonly from: PlatformNode
  readonly to: PlatformNode
  readonly near: net.Socket
  readonly far: net.Socket
  /** Carries nothing any more, and its ends don't learn of each other's end. */
  isSilent: boolean
  hasEnded: boolean
}

/**
 * Proxies between all pairs of nodes. A node dials the others at its own link port, where the proxy
 * of the pair listens. Bytes that a cut holds up arrive after it, as if sent again.
 */
export class LinkProxies {
  private readonly servers: net.Server[] = []
  private readonly connections = new Set<Connection>()
  /** Directions that carry nothing, as `from>to`, each as often as it was cut. */
  private readonly cuts = new Map<string, number>()

  async add(node: PlatformNode, others: readonly PlatformNode[]): Promise<void> {
    for (const other of others) {
      await this.listen(node, other)
      await this.listen(other, node)
    }
  }

  cut(directions: readonly (readonly [PlatformNode, PlatformNode])[]): () => void {
    const keys = directions.map(([from, to]) => keyOf(from, to))
    this.count(keys, 1)
    return () => {
      this.count(keys, -1)
    }
  }

  /** The open connections between these nodes and the others go silent for good. */
  silence(nodes: readonly PlatformNode[]): void {
    for (const each of this.between(nodes)) {
      each.isSilent = true
      this.update(each)
    }
  }

  reset(nodes: readonly PlatformNode[]): void {
    for (const { near, far } of this.between(nodes)) {
      near.resetAndDestroy()
      far.resetAndDestroy()
    }
  }

  close(): void {
    for (const server of this.servers) server.close()
    for (const { near, far } of this.connections) {
      near.destroy()
      far.destroy()
    }
  }

  private between(nodes: readonly PlatformNode[]): readonly Connection[] {
    return [...this.connections].filter(
      ({ from, to }) => nodes.includes(from) || nodes.includes(to),
    )
  }

  private count(keys: readonly string[], by: number): void {
    for (const key of keys) this.cuts.set(key, (this.cuts.get(key) ?? 0) + by)
    for (const each of this.connections) this.update(each)
  }

  private isCut(from: PlatformNode, to: PlatformNode): boolean {
    return (this.cuts.get(keyOf(from, to)) ?? 0) > 0
  }

  private async listen(from: PlatformNode, to: PlatformNode): Promise<void> {
    const server = net.createServer({ allowHalfOpen: false }, (near) => {
      this.connect(from, to, near)
    })
    this.servers.push(server)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(from.linkPort, to.host, resolve)
    })
  }

  private connect(from: PlatformNode, to: PlatformNode, near: net.Socket): void {
    const far = net.connect(to.linkPort, to.host)
    const each: Connection = { from, to, near, far, isSilent: false, hasEnded: false }
    this.connections.add(each)
    for (const [one, other] of [
      [near, far],
      [far, near],
    ] as const) {
      one.setNoDelay(true)
      one.on('data', (bytes) => {
        if (!each.isSilent) other.write(bytes)
      })
      // The close event follows.
      one.on('error', () => undefined)
      one.on('close', () => {
        each.hasEnded = true
        this.update(each)
        if (near.destroyed && far.destroyed) this.connections.delete(each)
      })
    }
    this.update(each)
  }

  /** Stops or resumes the two directions; tells both sides of an end once neither is cut. */
  private update(each: Connection): void {
    const { from, to, near, far, isSilent, hasEnded } = each
    const isOutCut = this.isCut(from, to)
    const isBackCut = this.isCut(to, from)
    setPaused(near, isOutCut || isSilent)
    setPaused(far, isBackCut || isSilent)
    if (!hasEnded || isOutCut || isBackCut || isSilent) return
    near.destroy()
    far.destroy()
  }
}

function setPaused(socket: net.Socket, isPaused: boolean): void {
  if (isPaused) socket.pause()
  else socket.resume()
}

function keyOf(from: PlatformNode, to: PlatformNode): string {
  return `${from.name}>${to.name}`
}
