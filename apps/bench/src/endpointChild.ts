/** A process with stand-in endpoints, steered by the bench over its message channel. */
import type { StandInEndpoint, StandInEndpointInput } from '@cherryhitch/stand-ins'
import {
  EndpointLedger,
  FailEveryBehaviour,
  FailureSpeed,
  NormalBehaviour,
  SlowBehaviour,
  startStandInEndpoint,
} from '@cherryhitch/stand-ins'
import { exhaustive } from '@cherryhitch/model'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { answerCommands } from './lib/processes/answerCommands'
import type { EndpointCommand, EndpointReply } from './lib/processes/commands'
import { EndpointCommandKind, EndpointFault } from './lib/processes/commands'

const STRAGGLER_FACTOR = 8

interface RunningEndpoint {
  readonly input: StandInEndpointInput
  endpoint: StandInEndpoint
}

const ledger = new EndpointLedger()
const running = new Map<string, RunningEndpoint>()

function startAll(
  command: Extract<EndpointCommand, { kind: EndpointCommandKind.Start }>,
): Effect.Effect<EndpointReply, unknown, Scope.Scope> {
  const { service, slots, connections, capacity } = command.deployment
  return Effect.gen(function* () {
    for (const [index, place] of command.places.entries()) {
      const seed = command.seed + index
      const input = { ...place, service, slots, connections, capacity, ledger, seed }
      const endpoint = yield* startStandInEndpoint(input)
      running.set(place.endpoint, { input, endpoint })
    }
    return {}
  })
}

function applyFault(
  name: string,
  fault: EndpointFault,
): Effect.Effect<EndpointReply, unknown, Scope.Scope> {
  return Effect.gen(function* () {
    const entry = running.get(name)
    if (entry === undefined) return {}
    const { endpoint } = entry
    switch (fault) {
      case EndpointFault.None:
        endpoint.setBehaviour(new NormalBehaviour())
        endpoint.recover()
        break
      case EndpointFault.FailFast:
        endpoint.setBehaviour(new FailEveryBehaviour(FailureSpeed.Fast))
        break
      case EndpointFault.FailSlow:
        endpoint.setBehaviour(new FailEveryBehaviour(FailureSpeed.Slow))
        break
      case EndpointFault.Straggle:
        endpoint.setBehaviour(new SlowBehaviour(STRAGGLER_FACTOR))
        break
      case EndpointFault.Kill:
        endpoint.kill()
        break
      case EndpointFault.Hang:
        endpoint.hang()
        break
      case EndpointFault.Silence:
        endpoint.silence()
        break
      case EndpointFault.Leave:
        endpoint.leave()
        break
      case EndpointFault.Restart:
        endpoint.close()
        entry.endpoint = yield* startStandInEndpoint(entry.input)
        break
      default:
        exhaustive(fault)
    }
    return {}
  })
}

answerCommands<EndpointCommand, EndpointReply>((command) => {
  switch (command.kind) {
    case EndpointCommandKind.Start:
      return startAll(command)
    case EndpointCommandKind.Fault:
      return applyFault(command.endpoint, command.fault)
    case EndpointCommandKind.Collect:
      return Effect.sync(() => ({ ledger: ledger.toData() }))
    default:
      return exhaustive(command)
  }
})
