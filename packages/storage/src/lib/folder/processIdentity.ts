import fs from 'node:fs/promises'

/** Identifies a process across PID reuse. @internal */
export interface ProcessIdentity {
  readonly pid: number
  /** Start time in clock ticks, as the kernel reports it; empty where it cannot be read. */
  readonly startedAt: string
  /** Boot ID, which changes with each boot of the machine; empty where it cannot be read. */
  readonly machineBoot: string
}

const BOOT_ID_FILE = '/proc/sys/kernel/random/boot_id'
/** Position of the start time among the fields that follow the command in `/proc/<pid>/stat`. */
const START_TIME_FIELD = 19

async function readOrEmpty(file: string): Promise<string> {
  return fs.readFile(file, 'utf8').catch(() => '')
}

/** Start time of a process; empty if there is no such process or the system does not expose it. */
async function startTimeOf(pid: number): Promise<string> {
  const stat = await readOrEmpty(`/proc/${pid}/stat`)
  // The command is in parentheses and may itself contain any character, also parentheses.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return fields[START_TIME_FIELD] ?? ''
}

/** Reads the identity of a running process. @internal */
export async function identify(pid: number): Promise<ProcessIdentity> {
  const boot = await readOrEmpty(BOOT_ID_FILE)
  return { pid, startedAt: await startTimeOf(pid), machineBoot: boot.trim() }
}

function exists(pid: number): boolean {
  try {
    process.kill(pid, 0)
    return true
  } catch (err) {
    // EPERM means that the process exists but this user may not signal it.
    return err instanceof Error && 'code' in err && err.code === 'EPERM'
  }
}

/** Whether this process still runs, rather than another one with the same PID. @internal */
export async function isAlive(holder: ProcessIdentity): Promise<boolean> {
  if (!exists(holder.pid)) return false
  const now = await identify(holder.pid)
  if (now.machineBoot !== holder.machineBoot) return false
  return now.startedAt === holder.startedAt
}
