import net from 'node:net'

/**
 * Below the range from which Linux takes the ports of outgoing connections (32768 on): a port of
 * that range may be taken between the moment it was found free and the moment it is listened on.
 */
const FIRST_PORT = 10_240
const LAST_PORT = 32_000

/** Resolves to undefined when the port is in use. */
function tryListen(port: number): Promise<net.Server | undefined> {
  return new Promise((resolve) => {
    const server = net.createServer()
    server.on('error', () => {
      resolve(undefined)
    })
    server.listen(port, '127.0.0.1', () => {
      resolve(server)
    })
  })
}

function close(server: net.Server): Promise<unknown> {
  return new Promise((resolve) => {
    server.close(resolve)
  })
}

/** Ports of the loopback address that were free a moment ago, from a random one upwards. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const held = new Map<number, net.Server>()
  const span = LAST_PORT - FIRST_PORT
  const start = Math.floor(Math.random() * span)
  for (let step = 0; step < span && held.size < count; step++) {
    const port = FIRST_PORT + ((start + step) % span)
    const server = await tryListen(port)
    if (server !== undefined) held.set(port, server)
  }
  await Promise.all([...held.values()].map(close))
  if (held.size < count) throw new Error(`only ${held.size} of ${count} ports are free`)
  return [...held.keys()]
}
