/** Free ports and loopback addresses for one run of a script. */
import net from 'node:net'
import process from 'node:process'

/** Whether a port can be bound on all of the given addresses. */
async function isFree(port, addresses) {
  for (const host of addresses) {
    const server = net.createServer()
    const bound = await new Promise((resolve) => {
      server.once('error', () => resolve(false))
      server.listen(port, host, () => resolve(true))
    })
    if (!bound) return false
    await new Promise((resolve) => server.close(resolve))
  }
  return true
}

/** A block of consecutive ports that are free on all of the given addresses. */
export async function freePorts(count, addresses) {
  const first = 20_000 + (process.pid % 200) * 50
  for (let base = first; base < 60_000; base += 50) {
    let ok = true
    for (let i = 0; ok && i < count; i++) ok = await isFree(base + i, addresses)
    if (ok) return Array.from({ length: count }, (_, i) => base + i)
  }
  throw new Error('no free ports')
}

/** A loopback network of its own for each run: 127.A.B.x. */
export function loopbackNet() {
  const a = 16 + (process.pid % 200)
  const b = Math.floor(process.pid / 200) % 250
  return (x) => `127.${a}.${b}.${x}`
}
