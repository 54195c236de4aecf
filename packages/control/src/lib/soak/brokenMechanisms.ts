import { MemoryDisk } from '@cherryhitch/storage'
import type { StorageError } from '@cherryhitch/storage'
import { Effect } from 'effect'
import { QuorumRules, StrictQuorumRules } from '../voter/QuorumRules'
import type { SimulationOptions } from './SimulatedCluster'

/** Confirms appended entries without a sync; whole files that are replaced are synced. */
class LyingDisk extends MemoryDisk {
  readonly #appended = new Set<string>()

  override append(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError> {
    this.#appended.add(name)
    return super.append(name, bytes)
  }

  override sync(name: string): Effect.Effect<void, StorageError> {
    return this.#appended.has(name) ? Effect.void : super.sync(name)
  }
}

class LearnersCount extends QuorumRules {
  override hasVote(): boolean {
    return true
  }

  override mayCommit(entryTerm: number, currentTerm: number): boolean {
    return entryTerm === currentTerm
  }
}

class OldTermsCommit extends StrictQuorumRules {
  override mayCommit(): boolean {
    return true
  }
}

/**
 * Random runs meet the order of crashes that breaks this one too seldom; a run that is made for
 * it notices.
 *
 * @internal
 */
export const oldTermsCommit: QuorumRules = new OldTermsCommit()

/** The mechanisms that a random run takes away, to see that its checks notice. @internal */
export const brokenMechanisms: Readonly<Record<string, Partial<SimulationOptions>>> = {
  'a disk confirms without a sync': { makeDisk: (seed) => new LyingDisk({ seed }) },
  'learners count': { rules: new LearnersCount() },
  'a wiped disk votes under its old id': { wipeKeepsId: true },
  'settings leases outlast what the leader reckons': { clientLeaseMs: 12_000 },
}
