import type { Daemon } from '../system/Daemon'
import type { OperatorClient } from '../system/OperatorClient'

const AGREE_LIMIT_MS = 10_000
const POLL_MS = 200
const GOOD = 200

/** What the watch needs of a system. */
export interface WatchedSystem {
  readonly daemons: readonly Daemon[]
  operator(daemon: Daemon): Pick<OperatorClient, 'settings' | 'setPreset'>
}

interface Seen {
  readonly process: number
  readonly version: number
}

/**
 * Watches that an accepted change of preset takes force everywhere and never reverts: the version
 * that a process gives only rises, and at the end all give the same one.
 */
export class SettingsWatch {
  private readonly seen = new Map<string, Seen>()
  private readonly processes = new Map<string, number>()
  private acceptedVersion = 0

  constructor(
    private readonly system: WatchedSystem,
    private readonly violations: string[],
    private readonly agreeLimitMs = AGREE_LIMIT_MS,
  ) {}

  /** The instance has ended or ends; what the next process says is not compared. */
  noteEnd({ place }: Daemon): void {
    this.processes.set(place.instance, this.processOf(place.instance) + 1)
  }

  /** An operator's change; a refusal or no answer is allowed while faults go on. */
  async setPreset(daemon: Daemon, name: string, commandId: string): Promise<void> {
    const operator = this.system.operator(daemon)
    try {
      const { version } = await operator.settings()
      const status = await operator.setPreset(name, version, commandId)
      if (status !== GOOD) return
      this.acceptedVersion = Math.max(this.acceptedVersion, version + 1)
      const again = await operator.setPreset(name, version, commandId)
      if (again >= 400 && again < 500) {
        this.violations.push(`the resend of ${commandId} was refused: HTTP ${again}`)
      }
    } catch {
      // No answer: the change may be accepted or not.
    }
  }

  async look(): Promise<void> {
    await Promise.all(this.system.daemons.map((daemon) => this.lookAt(daemon)))
  }

  /** Every instance is there and gives the same version, and no accepted one is lost. */
  async awaitAgreement(now: () => number): Promise<void> {
    const until = now() + this.agreeLimitMs
    for (;;) {
      const versions = await Promise.all(this.system.daemons.map((each) => this.lookAt(each)))
      const [first = 0] = versions
      const agree = versions.every((version) => version === first)
      if (agree && first >= Math.max(1, this.acceptedVersion)) return
      if (now() >= until) {
        const said = versions.map((version) => version ?? 'no answer').join(', ')
        this.violations.push(`settings ${this.acceptedVersion} not in force everywhere: ${said}`)
        return
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
  }

  private async lookAt(daemon: Daemon): Promise<number | undefined> {
    const { instance } = daemon.place
    const process = this.processOf(instance)
    const settings = await this.system
      .operator(daemon)
      .settings()
      .catch(() => undefined)
    if (settings === undefined || this.processOf(instance) !== process) return undefined
    const { version } = settings
    const seen = this.seen.get(instance)
    if (seen?.process === process && version < seen.version) {
      this.violations.push(`${instance} went back from settings ${seen.version} to ${version}`)
    }
    this.seen.set(instance, { process, version })
    return version
  }

  private processOf(instance: string): number {
    return this.processes.get(instance) ?? 0
  }
}
