import type { AppendEntries, InstallSnapshot, LogEntry } from '@cherryhitch/protocol'
import type { VoterCore } from './VoterCore'

/** Takes in what the leader of the term sends. @internal */
export class Follower {
  readonly #core: VoterCore
  #saidForeign = false

  constructor(core: VoterCore) {
    this.#core = core
  }

  /** True when the message is meant for another disk than the one that is here now. */
  isForeign(diskId: string): boolean {
    const foreign = diskId !== this.#core.diskId
    if (foreign && !this.#saidForeign) {
      this.#saidForeign = true
      this.#core.say(`the leader knows disk ${diskId} here, this is ${this.#core.diskId}`)
    }
    return foreign
  }

  onAppend(from: string, req: AppendEntries): void {
    const { log } = this.#core
    const lastIndex = req.previousIndex + req.entries.length
    if (this.#core.state === undefined) {
      this.#reply(from, req.round, false, -1)
    } else if (req.previousIndex < log.baseIndex || this.#fits(req)) {
      // What lies before the base is committed, so it is the same with every leader.
      this.#takeIn(req.entries)
      const applied = this.#core.commitThrough(Math.min(req.commitIndex, lastIndex))
      if (applied.length > 0) this.#core.compact()
      this.#reply(from, req.round, true, lastIndex)
    } else {
      // The commit index is a point up to which both logs agree for sure.
      const hint = log.lastIndex < req.previousIndex ? log.lastIndex : this.#core.commitIndex
      this.#reply(from, req.round, false, hint)
    }
  }

  onInstall(from: string, req: InstallSnapshot): void {
    const { snapshot } = req
    if (snapshot === undefined) return
    const { lastIndex, lastTerm } = snapshot
    const behind = this.#core.state === undefined || lastIndex > this.#core.commitIndex
    if (behind && this.#core.log.termAt(lastIndex) === lastTerm) {
      this.#core.commitThrough(lastIndex)
    } else if (behind) {
      this.#core.install(snapshot)
    }
    this.#reply(from, req.round, true, lastIndex)
  }

  #fits({ previousIndex, previousTerm }: AppendEntries): boolean {
    return this.#core.log.termAt(previousIndex) === previousTerm
  }

  #takeIn(entries: readonly LogEntry[]): void {
    const { log } = this.#core
    const fresh = entries.filter(({ index, term }) => {
      return index > log.baseIndex && log.termAt(index) !== term
    })
    const [first] = fresh
    if (first === undefined) return
    if (first.index <= log.lastIndex) this.#core.truncateAfter(first.index - 1)
    this.#core.appendEntries(fresh)
  }

  #reply(to: string, round: number, accepted: boolean, matchIndex: number): void {
    const { term, diskId } = this.#core
    const value = { term, diskId, accepted, matchIndex, round }
    this.#core.sendWhenDurable(to, { case: 'appendReply', value })
  }
}
