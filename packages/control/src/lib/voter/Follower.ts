import type { AppendEntries, InstallSnapshot, LogEntry } from '@cherryhitch/protocol'
import { BASE_VERSION, COMMAND_VERSION } from '../state/commandVersion'
import type { VoterCore } from './VoterCore'

/** Handles the entries and snapshots that the leader of the term sends. @internal */
export class Follower {
  readonly #core: VoterCore
  #loggedOtherDisk = false

  constructor(core: VoterCore) {
    this.#core = core
  }

  /**
   * True if the message is addressed to another disk than the one in this instance; logged once.
   */
  isForOtherDisk(diskId: string): boolean {
    const isOther = diskId !== this.#core.diskId
    if (isOther && !this.#loggedOtherDisk) {
      this.#loggedOtherDisk = true
      this.#core.logLine(
        `ignoring messages for disk ${diskId}: the disk of this instance is ${this.#core.diskId}`,
      )
    }
    return isOther
  }

  onAppend(from: string, req: AppendEntries): void {
    const { log } = this.#core
    this.#core.leaderCommandVersion = Math.max(BASE_VERSION, req.commandVersion)
    const lastIndex = req.previousIndex + req.entries.length
    if (this.#core.state === undefined) {
      this.#reply(from, req.round, false, -1)
    } else if (req.previousIndex < log.baseIndex || this.#matchesPreviousEntry(req)) {
      // Entries before the base are committed, so they are the same for every leader.
      this.#appendMissing(req.entries)
      const applied = this.#core.commitThrough(Math.min(req.commitIndex, lastIndex))
      if (applied.length > 0) this.#core.compact()
      this.#reply(from, req.round, true, lastIndex)
    } else {
      // Both logs are known to agree up to the commit index, so the leader can go on from there.
      const hint = log.lastIndex < req.previousIndex ? log.lastIndex : this.#core.commitIndex
      this.#reply(from, req.round, false, hint)
    }
  }

  onInstall(from: string, req: InstallSnapshot): void {
    const { snapshot } = req
    if (snapshot === undefined) return
    const { lastIndex, lastTerm } = snapshot
    const isBehind = this.#core.state === undefined || lastIndex > this.#core.commitIndex
    if (isBehind && this.#core.log.termAt(lastIndex) === lastTerm) {
      this.#core.commitThrough(lastIndex)
    } else if (isBehind) {
      this.#core.install(snapshot)
    }
    this.#reply(from, req.round, true, lastIndex)
  }

  #matchesPreviousEntry({ previousIndex, previousTerm }: AppendEntries): boolean {
    return this.#core.log.termAt(previousIndex) === previousTerm
  }

  #appendMissing(entries: readonly LogEntry[]): void {
    const { log } = this.#core
    const missing = entries.filter(({ index, term }) => {
      return index > log.baseIndex && log.termAt(index) !== term
    })
    const [first] = missing
    if (first === undefined) return
    if (first.index <= log.lastIndex) this.#core.truncateAfter(first.index - 1)
    this.#core.appendEntries(missing)
  }

  #reply(to: string, round: number, accepted: boolean, matchIndex: number): void {
    const { term, diskId } = this.#core
    const commandVersion = COMMAND_VERSION
    const value = { term, diskId, accepted, matchIndex, round, commandVersion }
    this.#core.sendWhenDurable(to, { case: 'appendReply', value })
  }
}
