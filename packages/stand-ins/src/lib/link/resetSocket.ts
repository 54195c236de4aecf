import type { Socket } from 'node:net'

/**
 * Breaks a connection with a TCP reset where that is safe.
 *
 * Node.js 20 never completes a shutdown that a reset overtakes, and then spins when the process
 * exits; so a socket that is ending already, or still connecting, is closed without a reset.
 *
 * @internal
 */
export function resetSocket(socket: Socket): void {
  if (socket.writableEnded || socket.connecting) socket.destroy()
  else socket.resetAndDestroy()
}
