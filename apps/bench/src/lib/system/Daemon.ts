import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import fs from 'node:fs'
import type { ProcessUsage } from '../measure/processUsage'
import { addUsage, noUsage, readUsage } from '../measure/processUsage'
import type { InstancePlace } from './Topology'

/** How a daemon's process ended. */
export interface DaemonExit {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** One instance as a process of its own. Owns the process and its log file. */
export class Daemon {
  private child: ChildProcess | undefined
  private exit: Promise<DaemonExit> = Promise.resolve({ code: 0, signal: null })
  private earlier: ProcessUsage = noUsage

  constructor(
    readonly place: InstancePlace,
    private readonly program: string,
    private readonly settingsFile: string,
    private readonly logFile: string,
  ) {}

  get isRunning(): boolean {
    return this.child !== undefined
  }

  start(): void {
    const log = fs.openSync(this.logFile, 'a')
    const args = [this.program, 'serve', '--settings', this.settingsFile]
    const child = spawn(process.execPath, args, { stdio: ['ignore', log, log] })
    fs.closeSync(log)
    this.child = child
    this.exit = new Promise((resolve) => {
      child.on('exit', (code, signal) => {
        if (this.child === child) this.child = undefined
        resolve({ code, signal })
      })
    })
  }

  /** Takes it out of service as the platform does; ends when the process has. */
  async shutDown(): Promise<DaemonExit> {
    this.noteUsage()
    this.child?.kill('SIGTERM')
    return this.exit
  }

  /** Ends the process at once, as a crash does. */
  async crash(): Promise<void> {
    this.noteUsage()
    this.child?.kill('SIGKILL')
    await this.exit
  }

  /** Stops the process without ending it, as a machine that hangs. */
  freeze(): void {
    this.child?.kill('SIGSTOP')
  }

  thaw(): void {
    this.child?.kill('SIGCONT')
  }

  /** Of all its processes so far. */
  usage(): ProcessUsage {
    const pid = this.child?.pid
    return pid === undefined ? this.earlier : addUsage(this.earlier, readUsage(pid))
  }

  private noteUsage(): void {
    this.earlier = this.usage()
  }
}
