import fs from 'node:fs/promises'

/** Tells one run of a process from another one that got the same number later. @internal */
export interface ProcessIdentity {
  readonly pid: number
  /** When it started, in the kernel's own unit; empty where that can't be read. */
  readonly startedAt: string
  /** Changes with each start of the machine; empty where that can't be read. */
  readonly machineBoot: string
}

const BOOT_ID_FILE = '/proc/sys/kernel/random/boot_id'
/** Position of the start time among the fields that follow the command in `/proc/<pid>/stat`. */
const START_TIME_FIELD = 19

async function readOrEmpty(file: string): Promise<string> {
  return fs.readFile(file, 'utf8').catch(() => '')
}

/** Start time of a process; empty when there is none or the system doesn't tell. */
async function startTimeOf(pid: number): Promise<string> {
  const stat = await readOrEmpty(`/proc/${pid}/stat`)
  // The command stands in brackets and may hold any character, brackets too.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return fields[START_TIME_FIELD] ?? ''
}

/** The identity of a process that runs now. @internal */
export async function identify(pid: number): Promise<ProcessIdentity> {
  const boot = await readOrEmpty(BOOT_ID_FILE)
  return { pid, startedAt: await startTimeOf(pid), machineBoot: boot.trim() }
}

function exists(pid: number): boolean {
  try {
    process.kill(pid, 0)
    return true
  } catch (err) {
    // Without the right to signal it, it is there all the same.
    return err instanceof Error && 'code' in err && err.code === 'EPERM'
  }
}

/** Whether the very process still runs, not another one under its number. @internal */
export async function isAlive(holder: ProcessIdentity): Promise<boolean> {
  if (!exists(holder.pid)) return false
  const now = await identify(holder.pid)
  if (now.machineBoot !== holder.machineBoot) return false
  return now.startedAt === holder.startedAt
}
