import fs from 'node:fs'

/** What a process has used. */
export interface ProcessUsage {
  /** Processor time, in milliseconds. */
  readonly cpuMs: number
  /** Most memory that was resident, in megabytes. */
  readonly peakRssMb: number
}

export const noUsage: ProcessUsage = { cpuMs: 0, peakRssMb: 0 }

/** Linux counts processor time in hundredths of a second. */
const MS_PER_TICK = 10
const KB_PER_MB = 1024
/** Fields of /proc/PID/stat after the name: user and system time. */
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12

/** Reads what a process of this machine has used; nothing when it has ended. */
export function readUsage(pid: number): ProcessUsage {
  try {
    const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8')
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])
    const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8')
    const peakKb = Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 0)
    return { cpuMs: ticks * MS_PER_TICK, peakRssMb: peakKb / KB_PER_MB }
  } catch {
    return noUsage
  }
}

/** Times add up; of the peaks the higher one counts. */
export function addUsage(first: ProcessUsage, second: ProcessUsage): ProcessUsage {
  return {
    cpuMs: first.cpuMs + second.cpuMs,
    peakRssMb: Math.max(first.peakRssMb, second.peakRssMb),
  }
}
