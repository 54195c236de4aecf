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
  /** The instance that owns the folder; it has to be one of the voters. */
  readonly instance: string
  /** Chosen by the operator: the same for all voters, and never used before. */
  readonly clusterId: string
  /** Instances of the initial voters, in any order. */
  readonly voters: readonly string[]
}

/**
 * Creates an initial voter in an empty folder, for `cherryhitch control init`. It is run once on
 * each of the initial voters, with the same arguments. Returns the id of the disk.
 *
 * A wiped folder must never be initialized again: it has to start as a learner under a new id.
 *
 * @public
 */
export function initVoters(
  disk: Disk,
  options: InitVotersOptions,
): Effect.Effect<string, ControlError> {
  return Effect.gen(function* () {
    const { instance, clusterId, voters } = options
    const problem = validateOptions(options)
    if (problem !== undefined) {
      return yield* new ControlError({ kind: ControlErrorKind.InvalidMembers, detail: problem })
    }
    const { store, stored } = yield* VoterStore.open(disk)
    if (stored !== undefined) {
      const detail = `the folder belongs to disk ${stored.diskId} already`
      return yield* new ControlError({ kind: ControlErrorKind.AlreadyInitialized, detail })
    }
    const diskId = initialDiskId(instance, clusterId)
    const hardState = create(HardStateSchema, { schemaVersion: HARD_STATE_VERSION, diskId })
    yield* store.initialize(hardState, genesisSnapshot(clusterId, voters))
    return diskId
  })
}

/** A voter's files and what they held when they were opened. @internal */
export interface OpenVoter {
  readonly store: VoterStore
  readonly stored: StoredVoter
}

/**
 * Opens the voter stored in a folder. An empty folder gets a new identity, under which the voter
 * waits until an operator adds it as a learner.
 *
 * @internal
 */
export function openVoter(
  disk: Disk,
  instance: string,
  makeId: () => string = randomUUID,
): Effect.Effect<OpenVoter, ControlError> {
  return Effect.gen(function* () {
    const opened = yield* VoterStore.open(disk)
    if (opened.stored !== undefined) return { store: opened.store, stored: opened.stored }
    const diskId = `${instance}-${makeId()}`
    const hardState = create(HardStateSchema, { schemaVersion: HARD_STATE_VERSION, diskId })
    yield* opened.store.initialize(hardState)
    const stored = { diskId, term: 0, votedFor: '', snapshot: undefined, entries: [] }
    return { store: opened.store, stored }
  })
}

function validateOptions({ instance, clusterId, voters }: InitVotersOptions): string | undefined {
  if (!isValidName(clusterId)) return 'the cluster id is not a valid name'
  if (!voters.includes(instance)) return `instance ${instance} is not among the voters`
  if (new Set(voters).size !== voters.length) return 'a voter is named twice'
  return voters.every(isValidName) ? undefined : 'the name of a voter is not valid'
}
