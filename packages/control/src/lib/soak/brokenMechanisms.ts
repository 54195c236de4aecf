import { MemoryDisk } from '@cherryhitch/storage'
import type { StorageError } from '@cherryhitch/storage'
import { Effect } from 'effect'
import { QuorumRules, StrictQuorumRules } from '../voter/QuorumRules'
import type { SimulationOptions } from './SimulatedCluster'

/** Reports appended entries as synced without a sync; files that are replaced whole are synced. */
class UnsyncedAppendDisk extends MemoryDisk {
  readonly #appended = new Set<string>()

  override append(name: string, bytes: Uint8Array): Effect.Effect<void, StorageError> {
    this.#appended.add(name)
    return super.append(name, bytes)
  }

  override sync(name: string): Effect.Effect<void, StorageError> {
    return this.#appended.has(name) ? Effect.void : super.sync(name)
  }
}

class LearnersVoteRules extends QuorumRules {
  override hasVote(): boolean {
    return true
  }

  override mayCommit(entryTerm: number, currentTerm: number): boolean {
    return entryTerm === currentTerm
  }
}

class OldTermsCommitRules extends StrictQuorumRules {
  override mayCommit(): boolean {
    return true
  }
}

/**
 * Commits entries of earlier terms by counting replicas. Random runs rarely produce the order of
 * crashes in which this loses entries, so a test creates that order explicitly.
 *
 * @internal
 */
export const oldTermsCommitRules: QuorumRules = new OldTermsCommitRules()

/** Faults that random runs inject, to verify that their checks detect them. @internal */
export const brokenMechanisms: Readonly<Record<string, Partial<SimulationOptions>>> = {
  'a disk reports appends as synced without a sync': {
    makeDisk: (seed) => new UnsyncedAppendDisk({ seed }),
  },
  'learners have votes': { rules: new LearnersVoteRules() },
  'a wiped disk votes under its old id': { wipeKeepsId: true },
  'settings leases last longer than the leader assumes': { clientLeaseMs: 12_000 },
}
