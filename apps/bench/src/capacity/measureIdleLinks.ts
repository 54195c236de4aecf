import { startLinkHost } from '@cherryhitch/rpc'
import type { LinkHost } from '@cherryhitch/rpc'
import { Effect, Exit, Scope } from 'effect'
import { head, heapBytes, median, pause, row, slopeOf } from './measuring'

const HOST = '127.0.0.1'
const POLL_MS = 10
const SETTLE_MS = 2000
const WINDOW_MS = 2000
const WINDOWS = 3

async function startHosts(count: number, scope: Scope.Closeable): Promise<LinkHost[]> {
  const nothing = (): void => undefined
  const handlers = { onEnvelope: nothing, onLinkUp: nothing, onLinkDown: nothing, log: nothing }
  const listen = { host: HOST, port: 0 }
  const hosts: LinkHost[] = []
  for (let n = 0; n < count; n++) {
    const start = startLinkHost({ ...handlers, instance: `i${n}`, boot: 1, listen, peers: [] })
    hosts.push(await Effect.runPromise(Scope.provide(scope)(start)))
  }
  const peers = hosts.map(({ port }, n) => ({ instance: `i${n}`, host: HOST, port }))
  for (const host of hosts) host.setPeers(peers)
  for (const [n, host] of hosts.entries()) {
    const others = peers.filter((_, other) => other !== n)
    while (!others.every(({ instance }) => host.isUp(instance))) await pause(POLL_MS)
  }
  return hosts
}

function resident(): number {
  return process.memoryUsage().rss
}

interface IdleMesh {
  readonly streams: number
  readonly usPerSecond: number
  readonly heap: number
  readonly resident: number
}

/** Hosts that all dial one another and have nothing to say. */
async function measureMesh(count: number): Promise<IdleMesh> {
  const [heap, rss] = [heapBytes(), resident()]
  const scope = await Effect.runPromise(Scope.make())
  const hosts = await startHosts(count, scope)
  await pause(SETTLE_MS)
  const perSecond: number[] = []
  for (let n = 0; n < WINDOWS; n++) {
    const before = process.cpuUsage()
    const startedAt = performance.now()
    await pause(WINDOW_MS)
    const { user, system } = process.cpuUsage(before)
    perSecond.push((user + system) / ((performance.now() - startedAt) / 1000))
  }
  const held = { heap: heapBytes() - heap, resident: resident() - rss }
  await Effect.runPromise(Scope.close(scope, Exit.void))
  return { streams: hosts.length * (hosts.length - 1), usPerSecond: median(perSecond), ...held }
}

/** Prints what links cost while nothing is sent: empty batches and their receipts. */
export async function measureIdleLinks(): Promise<void> {
  const columns = ['hosts', 'streams', 'µs a second', 'heap kB', 'resident kB']
  head('Idle links, all hosts in this process, both ends', ...columns)
  const meshes: IdleMesh[] = []
  for (const count of [4, 8, 12, 16]) {
    const mesh = await measureMesh(count)
    meshes.push(mesh)
    row(count, mesh.streams, mesh.usPerSecond, mesh.heap / 1000, mesh.resident / 1000)
  }
  const slope = (y: (mesh: IdleMesh) => number): number =>
    slopeOf(meshes.map((mesh) => [mesh.streams, y(mesh)]))
  const time = slope((mesh) => mesh.usPerSecond)
  row('slope, each stream', 1, time, slope(({ heap }) => heap) / 1000, '')
}
