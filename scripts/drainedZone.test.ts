/**
 * Drains an availability zone of real processes: three dispatching instances, an entry, and workers
 * in two zones. Guards the path from the operator's call to the orders that workers get, which
 * tests of single packages do not cover, also when all instances are killed in between.
 */
import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { after, before, describe, it } from 'node:test'
import {
  putStandInRouting,
  setStandInZoneDrain,
  StandInWorker,
  submitStandInJob,
} from '@cherryhitch/platform'
import {
  CALLERS_PORT,
  CONTROL_PORT,
  Role,
  writeRoleSettings,
} from '../apps/bench/src/capacity/roleSettings'

const root = path.resolve(import.meta.dirname, '..')
const DISPATCHERS = ['127.0.44.1', '127.0.44.2', '127.0.44.3']
const ENTRY = '127.0.44.4'
const WORKERS_HOST = '127.0.44.5'
const SERVICE = 'tracing'
const ZONES = ['north', 'south']
const WORKERS_PER_ZONE = 3
const RUN_MS = 30
/** Half of a worker's cores, and more tasks than the workers of one zone can run at once. */
const TASK_CPU_MILLIS = 16_000
const WIDE_JOB_TASKS = 2 * WORKERS_PER_ZONE + 2
const POLL_MS = 50
/** Processes start within seconds, also beside other load. */
const PATIENCE_MS = 60_000
const ID_DIGITS = 16

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-zone-'))
const processes = new Map<string, ChildProcess>()
const workers: StandInWorker[] = []
let jobs = 0

function settingsFile(role: Role, host: string): string {
  const file = path.join(folder, `${host}.jsonc`)
  return fs.existsSync(file) ? file : writeRoleSettings({ role, host, seeds: DISPATCHERS, folder })
}

function startProcess(role: Role, host: string): void {
  const main = path.join(root, 'apps/cherryhitch/src/main.ts')
  const args = ['--import', 'tsx', main, role, '--settings', settingsFile(role, host)]
  processes.set(host, spawn(process.execPath, args, { cwd: root, stdio: 'ignore' }))
}

async function killAll(hosts: readonly string[]): Promise<void> {
  for (const host of hosts) {
    const child = processes.get(host)
    if (child === undefined) continue
    const ended = new Promise((resolve) => child.once('exit', resolve))
    child.kill('SIGKILL')
    await ended
  }
}

async function until(check: () => Promise<boolean>, what: string): Promise<void> {
  const giveUpAt = performance.now() + PATIENCE_MS
  while (!(await check())) {
    assert.ok(performance.now() < giveUpAt, `timed out: ${what}`)
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
}

function setDrain(zone: string, drained: boolean): Promise<void> {
  let tries = 0
  return until(() => {
    const host = DISPATCHERS[tries++ % DISPATCHERS.length] ?? ''
    return setStandInZoneDrain(`${host}:${CONTROL_PORT}`, zone, drained)
  }, `the order for ${zone} is acknowledged`)
}

/** Submits a job that uses both zones, unless one is drained. */
async function submitWideJob(): Promise<boolean> {
  const id = (++jobs).toString(ID_DIGITS).padStart(ID_DIGITS, '0')
  const job = { id, tasks: WIDE_JOB_TASKS, estimateMs: RUN_MS, cpuMillis: TASK_CPU_MILLIS }
  return await submitStandInJob(`${ENTRY}:${CALLERS_PORT}`, job)
}

function startOrdersIn(zone: string): number {
  const own = workers.filter((_, i) => ZONES[i % ZONES.length] === zone)
  return own.reduce((sum, worker) => sum + worker.startOrderCount, 0)
}

async function completeJobs(count: number): Promise<void> {
  for (let done = 0; done < count; done++) await until(submitWideJob, 'a job is completed')
}

describe('a drained zone of real processes', () => {
  before(async () => {
    for (const host of DISPATCHERS) startProcess(Role.Dispatch, host)
    startProcess(Role.Entry, ENTRY)
    const control = `${DISPATCHERS[0] ?? ''}:${CONTROL_PORT}`
    await until(() => putStandInRouting(control, SERVICE, 1), 'the routing is accepted')
    for (let i = 0; i < ZONES.length * WORKERS_PER_ZONE; i++) {
      const zone = ZONES[i % ZONES.length] ?? ''
      const own = { id: `w-${i}`, service: SERVICE, zone, host: WORKERS_HOST, runMs: RUN_MS }
      const worker = new StandInWorker(own)
      workers.push(worker)
      await worker.start(`${DISPATCHERS[i % DISPATCHERS.length] ?? ''}:${CONTROL_PORT}`)
    }
    await until(
      async () => (await submitWideJob()) && ZONES.every((zone) => startOrdersIn(zone) > 0),
      'both zones get tasks',
    )
  })

  after(async () => {
    for (const worker of workers) worker.stop()
    await killAll([...processes.keys()])
    fs.rmSync(folder, { recursive: true })
  })

  it('gets no start order after the acknowledgement, and jobs run in the other zone', async () => {
    await setDrain('north', true)
    const before = startOrdersIn('north')
    await completeJobs(20)
    assert.equal(startOrdersIn('north'), before)
  })

  it('is acknowledged again when the order is repeated', async () => {
    await setDrain('north', true)
    await setDrain('south', false)
    await completeJobs(1)
  })

  it('stays drained when all dispatching instances are killed and start again', async () => {
    const before = startOrdersIn('north')
    await killAll(DISPATCHERS)
    for (const host of DISPATCHERS) startProcess(Role.Dispatch, host)
    await completeJobs(20)
    assert.equal(startOrdersIn('north'), before)
  })

  it('gets tasks again once it is restored', async () => {
    await setDrain('north', false)
    const before = startOrdersIn('north')
    await until(
      async () => (await submitWideJob()) && startOrdersIn('north') > before,
      'the zone gets tasks again',
    )
  })

  it('is not drained under a name that no zone can have', async () => {
    const control = `${DISPATCHERS[0] ?? ''}:${CONTROL_PORT}`
    assert.equal(await setStandInZoneDrain(control, 'no%20zone', true), false)
  })
})
