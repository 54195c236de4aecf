import { Err, hash64, Ok } from '@cherryhitch/model'
import type { SettingsState } from '@cherryhitch/protocol'
import { startMailbox, startTimer, systemClock } from '@cherryhitch/runtime'
import type { Mailbox } from '@cherryhitch/runtime'
import type { Disk } from '@cherryhitch/storage'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { Result } from 'ts-results'
import type { ControlError } from '../errors/ControlError'
import { initVoters, openVoter } from '../store/initVoters'
import type { OpenVoter } from '../store/initVoters'
import { VoterStore } from '../store/VoterStore'
import { DiskEventKind, RecoverableVoter } from '../voter/RecoverableVoter'
import type { VoterMachineOptions } from '../voter/VoterOptions'
import { ClientEventKind } from './ClientEvent'
import { ClientMachine } from './ClientMachine'
import { defaultClientTiming } from './ClientOptions'
import { ControlHost, NodePart } from './ControlHost'
import type { NodeEvent } from './ControlHost'
import { ControlNode } from './ControlNode'
import { DEFAULT_TICK_MS } from './ControlNodeOptions'
import type { ControlNodeOptions } from './ControlNodeOptions'
import { startDiskWorker } from './startDiskWorker'
import type { DiskWorker } from './startDiskWorker'
import { startSettingsStore } from './startSettingsStore'
import type { SettingsStore } from './startSettingsStore'
import { storedMembers } from './storedMembers'

/** The voter of an instance with a disk, and access to its files. */
interface NodeVoter {
  readonly voter: RecoverableVoter
  readonly disk: DiskWorker
  /** Why the disk could not be opened yet; undefined if it is open. */
  readonly openFailure: string | undefined
  /** Instances of the members, as the disk named them when it was last opened. */
  readonly membersOnDisk: () => readonly string[]
}

/**
 * Starts an instance's node of the replicated log: a voter or learner if it has a disk, otherwise
 * only a client. The node stops when the scope is closed.
 *
 * While the disk cannot be opened for a reason that may pass, such as a full disk, the node runs
 * without its voter. Fails if the contents of the disk are damaged or not accessible.
 *
 * @public
 */
export function startControlNode(
  options: ControlNodeOptions,
): Effect.Effect<ControlNode, ControlError, Scope.Scope> {
  return Effect.gen(function* () {
    const { instance, boot, voters } = options
    const timing = { ...defaultClientTiming, ...options.clientTiming }
    // Only called after the mailbox is assigned: the workers report nothing before the host has
    // given them something to do.
    const tell = (event: NodeEvent): void => {
      mailbox.tell(event)
    }
    const hosted = yield* startVoter(options, tell)
    const settingsStore = yield* openSettingsStore(options, tell)
    const storesSettings = settingsStore !== undefined
    const client = new ClientMachine({ instance, boot, voters, timing, storesSettings })
    const clock = options.clock ?? systemClock
    const storeSettings = settingsStore?.save ?? (() => undefined)
    const parts = { options, clock, timing, client, ...hosted, tell, storeSettings }
    const host = new ControlHost(parts)
    const mailbox = yield* startHost(host, options)
    for (const settings of [settingsStore?.settings, hosted?.voter.settings]) {
      if (settings === undefined) continue
      tell({ to: NodePart.Client, event: { kind: ClientEventKind.LocalSettings, settings } })
    }
    if (hosted?.openFailure !== undefined) {
      const event = { kind: DiskEventKind.OpenFailed as const, reason: hosted.openFailure }
      tell({ to: NodePart.Voter, event })
    }
    return new ControlNode(host)
  })
}

/** Opens the disk and starts its voter; undefined for an instance without a disk. */
function startVoter(
  options: ControlNodeOptions,
  tell: (event: NodeEvent) => void,
): Effect.Effect<NodeVoter | undefined, ControlError, Scope.Scope> {
  return Effect.gen(function* () {
    if (options.disk === undefined) return undefined
    let members: readonly string[] = []
    const opener = Effect.tap(makeOpener(options, options.disk), ({ stored }) =>
      Effect.sync(() => {
        members = storedMembers(stored)
      }),
    )
    const result = yield* openIfPossible(opener)
    const opened = result.ok ? result.val : undefined
    const voter = new RecoverableVoter(voterOptions(options), opened?.stored)
    const disk = yield* startDiskWorker({
      store: opened?.store,
      openVoter: opener,
      tell: (event) => {
        tell({ to: NodePart.Voter, event })
      },
    })
    const openFailure = result.ok ? undefined : result.val
    return { voter, disk, openFailure, membersOnDisk: () => members }
  })
}

/** The opened voter, or why it cannot be opened for the time being; other errors fail the start. */
function openIfPossible(
  opener: Effect.Effect<OpenVoter, ControlError>,
): Effect.Effect<Result<OpenVoter, string>, ControlError> {
  return Effect.matchEffect(opener, {
    onSuccess: (val) => Effect.succeed(Ok(val)),
    onFailure: (err) => {
      return err.isTransient ? Effect.succeed(Err(err.detail)) : Effect.fail(err)
    },
  })
}

/**
 * Opens the voter on the disk. Only until the first success may an empty disk be initialized: a
 * disk that is found empty later has lost what it acknowledged.
 */
function makeOpener(
  { instance, voters, autoInit, log }: ControlNodeOptions,
  disk: Disk,
): Effect.Effect<OpenVoter, ControlError> {
  let hasOpened = false
  return Effect.gen(function* () {
    const { stored } = yield* VoterStore.open(disk)
    const mayInitialize = !hasOpened && autoInit !== undefined && voters.includes(instance)
    if (stored === undefined && mayInitialize) {
      yield* initVoters(disk, { instance, voters, clusterId: autoInit.clusterId })
    }
    const opened = yield* openVoter(disk, instance)
    hasOpened = true
    if (opened.stored.snapshot === undefined) {
      log(`disk ${opened.stored.diskId} is empty: it waits to be added as a learner`)
    }
    return opened
  })
}

function voterOptions(options: ControlNodeOptions): VoterMachineOptions {
  const { instance, boot, voterTiming, voterLimits, state, toleratedLosses } = options
  const seed = options.seed ?? parseInt(hash64(`${instance}.${boot}`).slice(0, 8), 16)
  return {
    instance,
    seed,
    ...(voterTiming && { timing: voterTiming }),
    ...(voterLimits && { limits: voterLimits }),
    ...(state && { state }),
    ...(toleratedLosses !== undefined && { toleratedLosses }),
  }
}

function openSettingsStore(
  { disk, log }: ControlNodeOptions,
  tell: (event: NodeEvent) => void,
): Effect.Effect<SettingsStore | undefined, ControlError, Scope.Scope> {
  if (disk === undefined) return Effect.succeed(undefined)
  const onStored = (settings: SettingsState): void => {
    tell({ to: NodePart.Client, event: { kind: ClientEventKind.SettingsStored, settings } })
  }
  return startSettingsStore(disk, onStored, log)
}

/** Starts the host's mailbox and tick timer. */
function startHost(
  host: ControlHost,
  options: ControlNodeOptions,
): Effect.Effect<Mailbox<NodeEvent>, never, Scope.Scope> {
  return Effect.gen(function* () {
    const mailbox = yield* startMailbox<NodeEvent>({
      handleBatch: (events) => {
        host.handle(events)
      },
      onDefect: (defect) => {
        options.log(`control node stopped by an unexpected error: ${String(defect)}`)
        options.onDefect?.(defect)
      },
    })
    yield* startTimer(options.tickMs ?? DEFAULT_TICK_MS, () => {
      mailbox.tell({ to: NodePart.Timer })
    })
    return mailbox
  })
}
