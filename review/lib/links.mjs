/**
 * Proxies between the project's processes. Each process listens on a link port of its own and dials
 * all others at that same number, so a proxy per pair stands between them. A cut drops everything on
 * the connections between two sides without a reset, until it heals; those that lost bytes are reset
 * then.
 */
import net from 'node:net'

export class Links {
  constructor() {
    this.servers = []
    this.pairs = new Set()
    this.isCut = () => false
  }

  /** Stands between all pairs of nodes: `from` dials `to` at its own link port. */
  async stand(nodes) {
    for (const from of nodes) {
      for (const to of nodes) {
        if (from !== to) await this.#listen(from, to)
      }
    }
  }

  async #listen(from, to) {
    const server = net.createServer((near) => {
      const far = net.connect(to.ports.link, to.host)
      const pair = { from, to, near, far, hasLost: false }
      this.pairs.add(pair)
      const end = () => {
        this.pairs.delete(pair)
        near.destroy()
        far.destroy()
      }
      for (const [one, other] of [
        [near, far],
        [far, near],
      ]) {
        one.on('error', end)
        one.on('close', end)
        one.on('data', (bytes) => {
          if (this.isCut(from, to)) pair.hasLost = true
          if (!pair.hasLost) other.write(bytes)
        })
      }
    })
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(from.ports.link, to.host, resolve)
    })
    this.servers.push(server)
  }

  /** Ends the cut. Connections that have lost bytes are reset, since they can't go on. */
  heal() {
    this.isCut = () => false
    for (const { near, far, hasLost } of [...this.pairs]) {
      if (!hasLost) continue
      near.destroy()
      far.destroy()
    }
  }

  end() {
    for (const server of this.servers) server.close()
    for (const { near, far } of this.pairs) {
      near.destroy()
      far.destroy()
    }
  }
}
