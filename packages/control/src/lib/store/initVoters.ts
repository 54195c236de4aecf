import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { isValidName } from '@cherryhitch/model'
import { HardStateSchema } from '@cherryhitch/protocol'
import type { Disk } from '@cherryhitch/storage'
import { Effect } from 'effect'
import { ControlError, ControlErrorKind } from '../errors/ControlError'
import { genesisSnapshot, initialDiskId } from '../state/genesis'
import type { StoredVoter } from '../voter/VoterOptions'
import { VoterStore } from './VoterStore'

const HARD_STATE_VERSION = 1

/** @public */
export interface InitVotersOptions {
  /** The instance whose folder this is; it has to be one of the voters. */
  readonly instance: string
  /** Chosen by the operator, the same for all voters, never used before. */
  readonly clusterId: string
  /** Instances of the first set of voters, in any order. */
  readonly voters: readonly string[]
}

/**
 * Makes a voter of the first set on an empty folder; `cherryhitch control init`. It is run once on
 * each of the first voters, with the same arguments. Answers with the disk's id.
 *
 * A wiped folder must never be initialized again: it starts as a learner under a new id.
 *
 * @public
 */
export function initVoters(
  disk: Disk,
  options: InitVotersOptions,
): Effect.Effect<string, ControlError> {
  return Effect.gen(function* () {
    const { instance, clusterId, voters } = options
    const fault = findFault(options)
    if (fault !== undefined) {
      return yield* new ControlError({ kind: ControlErrorKind.InvalidMembers, detail: fault })
    }
    const { store, stored } = yield* VoterStore.open(disk)
    if (stored !== undefined) {
      const detail = `the folder belongs to disk ${stored.diskId} already`
      return yield* new ControlError({ kind: ControlErrorKind.AlreadyInitialized, detail })
    }
    const diskId = initialDiskId(instance, clusterId)
    const vote = create(HardStateSchema, { schemaVersion: HARD_STATE_VERSION, diskId })
    yield* store.initialize(vote, genesisSnapshot(clusterId, voters))
    return diskId
  })
}

/**
 * Opens the voter of a folder. A folder that holds none gets a new identity, under which it waits
 * as a learner until an operator adds it.
 *
 * @internal
 */
export function openVoter(
  disk: Disk,
  instance: string,
  makeId: () => string = randomUUID,
): Effect.Effect<{ store: VoterStore; stored: StoredVoter }, ControlError> {
  return Effect.gen(function* () {
    const opened = yield* VoterStore.open(disk)
    if (opened.stored !== undefined) return { store: opened.store, stored: opened.stored }
    const diskId = `${instance}-${makeId()}`
    const vote = create(HardStateSchema, { schemaVersion: HARD_STATE_VERSION, diskId })
    yield* opened.store.initialize(vote)
    const stored = { diskId, term: 0, votedFor: '', snapshot: undefined, entries: [] }
    return { store: opened.store, stored }
  })
}

function findFault({ instance, clusterId, voters }: InitVotersOptions): string | undefined {
  if (!isValidName(clusterId)) return 'the cluster id is not a valid name'
  if (!voters.includes(instance)) return `instance ${instance} is not among the voters`
  if (new Set(voters).size !== voters.length) return 'a voter is named twice'
  return voters.every(isValidName) ? undefined : 'the name of a voter is not valid'
}
