import { DiscoveryActionKind, DiscoveryMachine, instanceAt } from '@cherryhitch/dispatch'
import type { DiscoveryAction, DiscoveryEvent } from '@cherryhitch/dispatch'
import { exhaustive, splitAddress } from '@cherryhitch/model'
import { startActor, startVariableTimer } from '@cherryhitch/runtime'
import type { Actor } from '@cherryhitch/runtime'
import type { DispatchSettings } from '@cherryhitch/settings'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { ProcessContext } from './createProcessContext'
import { LeaderSearchLog } from './LeaderSearchLog'
import type { DispatchLinks } from './startDispatchLinks'

/** Minimum interval between checks for due timers, which are at least 100 ms apart. */
const TICK_MS = 20
/** Resolution of the logged time until the first leader, and the interval of checks after that. */
const FIRST_SEARCH_INTERVAL_MS = 100
const SEARCH_INTERVAL_MS = 1_000

/** @internal */
export interface DiscoveryPartOptions {
  readonly hostsVoter: boolean
  readonly links: DispatchLinks
  readonly onLeader?: (leader: string, term: number) => void
  readonly onQuorumUnreachable?: () => void
  /** Whether a majority has confirmed a read recently; absent for an instance that reads nothing. */
  readonly isReadConfirmed?: () => boolean
}

/** The running discovery part. @internal */
export interface DiscoveryActor extends Actor<DiscoveryEvent> {
  readonly machine: DiscoveryMachine
}

/** The instances listed as seeds in the settings. @internal */
export function seedInstances({ seeds }: DispatchSettings): readonly string[] {
  return seeds.map((seed) => instanceAt(splitAddress(seed).host))
}

/** @internal */
export function startDiscovery(
  context: ProcessContext,
  options: DiscoveryPartOptions,
  onVoterHost: (instance: string) => void = () => undefined,
): Effect.Effect<DiscoveryActor, never, Scope.Scope> {
  const { settings, instance, startedAt, log, onDefect } = context
  const { hostsVoter, links, onLeader, onQuorumUnreachable } = options
  const machine = new DiscoveryMachine({
    instance,
    zone: settings.zone,
    hostsVoter,
    seeds: seedInstances(settings),
    startedAt,
  })
  const perform = (action: DiscoveryAction): void => {
    switch (action.kind) {
      case DiscoveryActionKind.Send:
        links.send(action.to, action.envelope)
        return
      case DiscoveryActionKind.SetPeers:
        links.setPeers(action.instances)
        return
      case DiscoveryActionKind.VoterHostSeen:
        onVoterHost(action.instance)
        return
      case DiscoveryActionKind.LeaderChanged:
        logLeader(log, action.leader, action.term)
        onLeader?.(action.leader, action.term)
        return
      case DiscoveryActionKind.QuorumUnreachable:
        log.info('no majority of the voter hosts is reachable', { hosts: machine.voterHosts })
        onQuorumUnreachable?.()
        return
      default:
        exhaustive(action)
    }
  }
  return Effect.gen(function* () {
    const part = yield* startActor(machine, { perform, onDefect, tickMs: TICK_MS })
    yield* startSearchLog(context, options, machine)
    return { ...part, machine }
  })
}

/** Logs how long the search for the leader takes, and what it has found while it goes on. */
function startSearchLog(
  { log, startedAt, now, telemetry }: ProcessContext,
  { links, isReadConfirmed }: DiscoveryPartOptions,
  machine: DiscoveryMachine,
): Effect.Effect<void, never, Scope.Scope> {
  const search = new LeaderSearchLog(log, startedAt)
  telemetry.metrics.registerCounters('discovery', 'Search for the leader.', () => {
    return { ...search.counters(), currentHostsAnswered: machine.answeredHosts.length }
  })
  return startVariableTimer(() => {
    search.record(now(), {
      leader: machine.leader,
      isReadConfirmed: isReadConfirmed?.(),
      hosts: machine.voterHosts,
      answered: machine.answeredHosts,
      connected: links.connected,
    })
    return search.isFirst ? FIRST_SEARCH_INTERVAL_MS : SEARCH_INTERVAL_MS
  })
}

function logLeader(log: ProcessContext['log'], leader: string, term: number): void {
  log.info(leader === '' ? 'leader lost' : 'leader found', { leader, term })
}
