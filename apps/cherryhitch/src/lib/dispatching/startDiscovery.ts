import { DiscoveryActionKind, DiscoveryMachine, instanceAt } from '@cherryhitch/dispatch'
import type { DiscoveryAction, DiscoveryEvent } from '@cherryhitch/dispatch'
import { exhaustive, splitAddress } from '@cherryhitch/model'
import { startActor } from '@cherryhitch/runtime'
import type { Actor } from '@cherryhitch/runtime'
import type { DispatchSettings } from '@cherryhitch/settings'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { ProcessContext } from './createProcessContext'
import type { DispatchLinks } from './startDispatchLinks'

/** Minimum interval between checks for due timers, which are at least 100 ms apart. */
const TICK_MS = 20

/** @internal */
export interface DiscoveryPartOptions {
  readonly hostsVoter: boolean
  readonly links: DispatchLinks
  readonly onLeader?: (leader: string, term: number) => void
  readonly onQuorumUnreachable?: () => void
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
  { settings, instance, startedAt, log, onDefect }: ProcessContext,
  { hostsVoter, links, onLeader, onQuorumUnreachable }: DiscoveryPartOptions,
  onVoterHost: (instance: string) => void = () => undefined,
): Effect.Effect<DiscoveryActor, never, Scope.Scope> {
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
  return Effect.map(startActor(machine, { perform, onDefect, tickMs: TICK_MS }), (part) => {
    return { ...part, machine }
  })
}

function logLeader(log: ProcessContext['log'], leader: string, term: number): void {
  log.info(leader === '' ? 'leader lost' : 'leader found', { leader, term })
}
