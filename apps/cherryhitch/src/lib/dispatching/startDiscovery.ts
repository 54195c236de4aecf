import { DiscoveryActionKind, DiscoveryMachine, instanceAt } from '@cherryhitch/dispatch'
import type { DiscoveryAction, DiscoveryEvent } from '@cherryhitch/dispatch'
import { exhaustive, splitAddress } from '@cherryhitch/model'
import { startPart } from '@cherryhitch/runtime'
import type { Part } from '@cherryhitch/runtime'
import type { DispatchSettings } from '@cherryhitch/settings'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import type { ProcessContext } from './openProcess'
import type { DispatchLinks } from './startDispatchLinks'

/** Least time between two looks at what is due, in milliseconds: that is 100 ms and more apart. */
const TICK_MS = 20

/** @internal */
export interface DiscoveryPartOptions {
  readonly hostsVoter: boolean
  readonly links: DispatchLinks
  readonly onLeader?: (leader: string, term: number) => void
  readonly onNoLeaderInReach?: () => void
}

/** Discovery, running. @internal */
export interface DiscoveryPart extends Part<DiscoveryEvent> {
  readonly machine: DiscoveryMachine
}

/** Instances that the seeds name. @internal */
export function seedInstances({ seeds }: DispatchSettings): readonly string[] {
  return seeds.map((seed) => instanceAt(splitAddress(seed).host))
}

/** @internal */
export function startDiscovery(
  { settings, instance, startedAt, log, onDefect }: ProcessContext,
  { hostsVoter, links, onLeader, onNoLeaderInReach }: DiscoveryPartOptions,
  onVoterHost: (instance: string) => void = () => undefined,
): Effect.Effect<DiscoveryPart, never, Scope.Scope> {
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
        noteLeader(log, action.leader, action.term)
        onLeader?.(action.leader, action.term)
        return
      case DiscoveryActionKind.NoLeaderInReach:
        log.info('no majority of the hosts of voters is in reach', { hosts: machine.voterHosts })
        onNoLeaderInReach?.()
        return
      default:
        exhaustive(action)
    }
  }
  return Effect.map(startPart(machine, { perform, onDefect, tickMs: TICK_MS }), (part) => {
    return { ...part, machine }
  })
}

function noteLeader(log: ProcessContext['log'], leader: string, term: number): void {
  log.info(leader === '' ? 'the leader is lost' : 'a leader is found', { leader, term })
}
