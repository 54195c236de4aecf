import net from 'node:net'

function listen(): Promise<net.Server> {
  return new Promise((resolve, reject) => {
    const server = net.createServer()
    server.on('error', reject)
    server.listen(0, '127.0.0.1', () => {
      resolve(server)
    })
  })
}

function portOf(server: net.Server): number {
  const address = server.address()
  if (address === null || typeof address === 'string') throw new Error('the server has no port')
  return address.port
}

/** Ports of the loopback address that were free a moment ago. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  // All are held at the same time, so that none comes twice.
  const servers = await Promise.all(Array.from({ length: count }, listen))
  const ports = servers.map(portOf)
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve)
        }),
    ),
  )
  return ports
}
