import assert from 'node:assert/strict'
import { once } from 'node:events'
import net from 'node:net'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { resetSocket } from './resetSocket'

describe('breaking a connection', () => {
  it('leaves no shutdown behind when the connection is ending already', async () => {
    const server = net.createServer((peer) => peer.on('error', () => undefined))
    await once(server.listen(0, '127.0.0.1'), 'listening')
    const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1')
    await once(socket, 'connect')
    socket.end()
    // The shutdown is handed to the system now, and would complete in the next turn of the loop.
    await new Promise<void>((resolve) => {
      process.nextTick(resolve)
    })
    resetSocket(socket)
    await once(socket, 'close')
    server.close()
    await nextTurn()
    const pending = process.getActiveResourcesInfo().filter((name) => name === 'ShutdownWrap')
    assert.deepEqual(pending, [])
  })
})
