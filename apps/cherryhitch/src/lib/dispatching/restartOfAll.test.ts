import assert from 'node:assert/strict'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { afterEach, describe, it, mock } from 'node:test'
import { DispatchRole, loadDispatchSettings } from '@cherryhitch/settings'
import { Effect, Fiber } from 'effect'
import { runDispatch } from './runDispatch'

/** A loopback network of this process's own, so that runs beside each other don't meet. */
const network = `127.${64 + (process.pid % 128)}.${(process.pid >> 7) % 256}`
const hosts = [1, 2, 3].map((host) => `${network}.${host}`)
/** Addresses at which nothing listens. */
const goneHosts = [11, 12, 13].map((host) => `${network}.${host}`)
const CONTROL_PORT = 18_166
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-restart-'))
/** Far longer than an election takes, also on a busy machine. */
const LIMIT_MS = 60_000
const route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/q/',
  type: 'idempotent',
  timeoutMs: 500,
  targetDurationMs: 60,
  priority: 1,
  service: 's',
  maxAttempts: 4,
  stretch: 2,
}
const service = { name: 's', healthPath: '/h', maxConnections: 8, protocol: 'h1', tls: false }
const routing = (version: number): string =>
  JSON.stringify({ version, routes: [route], services: [service], limits: {} })
let running: Fiber.Fiber<unknown, unknown>[] = []

function startAll(seeds: readonly string[], firstStart: boolean, started = hosts): void {
  running = started.map((host, index) => {
    const file = path.join(folder, `${host}.jsonc`)
    const dataFolder = path.join(folder, host)
    fs.mkdirSync(dataFolder, { recursive: true })
    const settings = {
      name: `n${index}`,
      host,
      zone: `z${index}`,
      linkPort: 17_720,
      metricsPort: 17_721,
      seeds: seeds.map((seed) => `${seed}:${CONTROL_PORT}`),
      firstStart,
      dataFolder,
      control: `${host}:${CONTROL_PORT}`,
      heartbeatMs: 1_500,
      maxLeaseMs: 1_000,
      stopGraceMs: 6_000,
    }
    fs.writeFileSync(file, JSON.stringify(settings))
    return Effect.runFork(runDispatch(loadDispatchSettings(file, DispatchRole.Dispatch).unwrap()))
  })
}

async function stopAll(): Promise<void> {
  await Promise.all(running.map((fiber) => Effect.runPromise(Fiber.interrupt(fiber))))
  running = []
}

/** Calls the instances in turn until one answers with success; fails after the limit. */
async function callAny(init: RequestInit): Promise<string> {
  const limit = performance.now() + LIMIT_MS
  for (let attempt = 0; performance.now() < limit; attempt++) {
    const url = `http://${hosts[attempt % hosts.length] ?? ''}:${CONTROL_PORT}/config`
    const signal = AbortSignal.timeout(1_000)
    const res = await fetch(url, { ...init, signal }).catch(() => undefined)
    if (res?.ok === true) return res.text()
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  throw new Error('no instance has answered with success')
}

/** Sends a configuration until it is acknowledged. */
async function putRouting(version: number): Promise<void> {
  const headers = { 'content-type': 'application/json' }
  await callAny({ method: 'PUT', body: routing(version), headers })
}

describe('voters that all restart', { timeout: 300_000 }, () => {
  afterEach(async () => {
    mock.restoreAll()
    await stopAll()
    fs.rmSync(folder, { recursive: true })
  })

  it('read back the configuration although all seeds of their settings are gone', async () => {
    startAll(hosts, true)
    await putRouting(7)
    await stopAll()
    startAll(goneHosts, false)
    assert.equal(await callAny({ method: 'GET' }), routing(7))
  })

  it('put in force what they acknowledge although they start at the same time of day', async () => {
    mock.method(Date, 'now', () => Date.UTC(2026, 0))
    const [single = ''] = hosts
    startAll([single], true, [single])
    for (const version of [1, 2, 3]) await putRouting(version)
    await stopAll()
    startAll([single], false, [single])
    for (const version of [4, 5, 6]) {
      await putRouting(version)
      assert.equal(await callAny({ method: 'GET' }), routing(version))
    }
  })
})
