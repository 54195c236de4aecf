/**
 * Stores the code that each role of the bundled program has compiled after some seconds of work: a
 * small group of its processes serves jobs on loopback, with stand-in workers of this process.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { putStandInRouting, StandInWorker, submitStandInJob } from '@cherryhitch/platform'
import { nodeOptions } from '../apps/bench/src/capacity/nodeOptions'
import {
  CALLERS_PORT,
  CONTROL_PORT,
  Role,
  writeRoleSettings,
} from '../apps/bench/src/capacity/roleSettings'

/** The loopback's addresses of the group: the first voter leads, the others carry its orders. */
const LEADER = '127.0.43.1'
const DISPATCHERS = [LEADER, '127.0.43.2', '127.0.43.3']
const ENTRY = '127.0.43.4'
const WORKERS_HOST = '127.0.43.5'
/** At first the leader calls its workers itself, later there are so many that others carry its orders. */
const FIRST_WORKERS = 20
const MORE_WORKERS = 50
const SERVICE = 'tracing'
const RUN_MS = 60
const JOBS = 200
const JOB_GAP_MS = 12
/** A busy machine does fewer; the code of so many jobs is worth storing. */
const ENOUGH_JOBS = 40
const CPU_MILLIS = 16_000
const READY_LIMIT_MS = 10_000
const POLL_MS = 50
/** Workers have announced themselves by then, and are in use. */
const SETTLE_MS = 1_200
const END_LIMIT_MS = 3_000
const ID_DIGITS = 16

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

function startRole(folder: string, work: string, role: Role, host: string): ChildProcess {
  const settings = writeRoleSettings({ role, host, seeds: [LEADER], folder: work })
  const program = path.join(folder, 'cherryhitch.cjs')
  const args = [...nodeOptions(role), program, role, '--settings', settings]
  const env = { ...process.env, CHERRYHITCH_STORE_CODE: '1' }
  return spawn(process.execPath, args, { stdio: ['pipe', 'ignore', 'ignore'], env })
}

async function startWorkers(first: number, count: number): Promise<StandInWorker[]> {
  const workers = Array.from({ length: count }, (_, n) => {
    const id = `w-${first + n}`
    return new StandInWorker({
      id,
      service: SERVICE,
      zone: 'z1',
      host: WORKERS_HOST,
      runMs: RUN_MS,
    })
  })
  const controls = DISPATCHERS.map((host) => `${host}:${CONTROL_PORT}`)
  await Promise.all(workers.map((worker, n) => worker.start(controls[n % controls.length] ?? '')))
  return workers
}

async function putRouting(): Promise<void> {
  const giveUpAt = Date.now() + READY_LIMIT_MS
  while (!(await putStandInRouting(`${LEADER}:${CONTROL_PORT}`, SERVICE, 1))) {
    if (Date.now() > giveUpAt) throw new Error('no routing was accepted')
    await pause(POLL_MS)
  }
}

/** @returns how many jobs were done */
async function submitJobs(first: number): Promise<number> {
  const jobs: Promise<boolean>[] = []
  for (let n = first; n < first + JOBS; n++) {
    const id = n.toString(ID_DIGITS).padStart(ID_DIGITS, '0')
    const job = { id, tasks: 1 + (n % 4), estimateMs: RUN_MS, cpuMillis: CPU_MILLIS }
    jobs.push(submitStandInJob(`${ENTRY}:${CALLERS_PORT}`, job))
    await pause(JOB_GAP_MS)
  }
  return (await Promise.all(jobs)).filter((done) => done).length
}

function awaitEnd(child: ChildProcess): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, END_LIMIT_MS)
    child.once('exit', () => {
      clearTimeout(timer)
      resolve()
    })
  })
}

/**
 * Runs the group and has the leader and the entry store their code.
 *
 * @param folder - of the bundled program
 * @throws when the group does no job, or stores nothing
 */
export async function storeCompiledCode(folder: string): Promise<void> {
  const work = fs.mkdtempSync(path.join(os.tmpdir(), 'cherryhitch-code-'))
  const dispatchers = DISPATCHERS.map((host) => startRole(folder, work, Role.Dispatch, host))
  const entry = startRole(folder, work, Role.Entry, ENTRY)
  const workers: StandInWorker[] = []
  try {
    await putRouting()
    workers.push(...(await startWorkers(0, FIRST_WORKERS)))
    await pause(SETTLE_MS)
    const done = await submitJobs(0)
    workers.push(...(await startWorkers(FIRST_WORKERS, MORE_WORKERS)))
    await pause(SETTLE_MS)
    const doneMore = await submitJobs(JOBS)
    if (done + doneMore < ENOUGH_JOBS) throw new Error(`only ${done + doneMore} jobs were done`)
    const storing = [...dispatchers.slice(0, 1), entry]
    const ends = storing.map(awaitEnd)
    for (const child of storing) child.kill('SIGUSR2')
    await Promise.all(ends)
  } finally {
    for (const worker of workers) worker.stop()
    for (const child of [...dispatchers, entry]) child.kill('SIGKILL')
    fs.rmSync(work, { recursive: true })
  }
}
