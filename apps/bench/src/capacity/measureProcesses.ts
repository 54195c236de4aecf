import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { head, median, pause, row } from './measuring'
import { nodeOptions } from './nodeOptions'
import { METRICS_PORT, Role, writeRoleSettings } from './roleSettings'

/** What the processes of one role cost, measured from outside of them. */
interface ProcessSample {
  /** Processor time so far, in milliseconds. */
  readonly processorMs: number
  /** How often its main thread went to sleep, and so had to be woken. */
  readonly wakeUps: number
  /** Batches that it sent to other instances. */
  readonly batches: number
}

interface Running {
  readonly role: Role
  readonly child: ChildProcess
  readonly metricsUrl: string
}

const root = path.resolve(import.meta.dirname, '../../../..')
/** Instances are named by their addresses: each gets one of the loopback's own. */
const ADDRESS_PREFIX = '127.0.41.'
/** Clock ticks of the kernel's processor times: 100 a second on all Linux machines. */
const MS_PER_TICK = 10
/** Fields of `/proc/PID/stat` after the name in brackets. */
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12
const START_MS = 4_000
const WINDOW_MS = 8_000

function startOne(role: Role, host: string, seeds: readonly string[], folder: string): Running {
  const file = writeRoleSettings({ role, host, seeds, folder })
  const program = path.join(root, 'target/cherryhitch.cjs')
  const args = [...nodeOptions(role), program, role, '--settings', file]
  const child = spawn(process.execPath, args, { stdio: 'ignore' })
  return { role, child, metricsUrl: `http://${host}:${METRICS_PORT}/metrics` }
}

async function sample({ child, metricsUrl }: Running): Promise<ProcessSample> {
  const folder = `/proc/${child.pid ?? 0}`
  const stat = fs.readFileSync(`${folder}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])
  const status = fs.readFileSync(`${folder}/status`, 'utf8')
  const wakeUps = Number(/^voluntary_ctxt_switches:\s+(\d+)/m.exec(status)?.[1])
  const metrics = await (await fetch(metricsUrl)).text()
  const batches = Number(/^cherryhitch_links_batches_?[sS]ent\S* (\d+)/m.exec(metrics)?.[1])
  return { processorMs: ticks * MS_PER_TICK, wakeUps, batches }
}

/**
 * Prints what processes of the bundled program cost while they have no work: their start, and
 * each second after it. Build the program before: `npm run bundle`.
 */
export async function measureProcesses(): Promise<void> {
  head(
    'Idle processes on loopback, median of each role',
    'dispatching instances, entries',
    'role',
    `processor ms in the first ${START_MS / 1000} s`,
    'processor ms a second after it',
    'wake-ups a second',
    'batches sent a second',
  )
  for (const [dispatching, entries] of [
    [3, 4],
    [6, 12],
  ] as const) {
    await measureGroup(dispatching, entries)
  }
}

async function measureGroup(dispatching: number, entries: number): Promise<void> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-processes-'))
  const hosts = Array.from({ length: dispatching + entries }, (_, n) => `${ADDRESS_PREFIX}${n + 1}`)
  const seeds = hosts.slice(0, Math.min(3, dispatching))
  const running = hosts.map((host, n) => {
    return startOne(n < dispatching ? Role.Dispatch : Role.Entry, host, seeds, folder)
  })
  try {
    await pause(START_MS)
    const before = await Promise.all(running.map(sample))
    await pause(WINDOW_MS)
    const after = await Promise.all(running.map(sample))
    for (const role of [Role.Dispatch, Role.Entry]) {
      const ofRole = (of: (n: number) => number): number => {
        return median(running.flatMap((one, n) => (one.role === role ? of(n) : [])))
      }
      const rate = (field: keyof ProcessSample): number => {
        const seconds = WINDOW_MS / 1000
        return ofRole((n) => ((after[n]?.[field] ?? 0) - (before[n]?.[field] ?? 0)) / seconds)
      }
      row(
        `${dispatching}, ${entries}`,
        role,
        ofRole((n) => before[n]?.processorMs ?? 0),
        rate('processorMs'),
        rate('wakeUps'),
        rate('batches'),
      )
    }
  } finally {
    for (const { child } of running) child.kill('SIGKILL')
    fs.rmSync(folder, { recursive: true })
  }
}
