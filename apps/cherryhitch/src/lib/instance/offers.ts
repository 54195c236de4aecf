import { MembershipEventKind } from '@cherryhitch/membership'
import { Effect, Schedule } from 'effect'
import type { Scope } from 'effect'
import type { StartContext } from './StartContext'

/** Tells membership what this instance offers; urgently when it changed much. @internal */
export function tellOffer({ parts, settings }: StartContext, urgent: boolean): void {
  parts.owner.use((owner) => {
    parts.coordinator.use((coordinator) => {
      parts.membership.use((membership) => {
        membership.tell({
          kind: MembershipEventKind.LocalOffer,
          services: owner.summaries(),
          jobsInFlight: coordinator.jobsInFlight(),
          settingsVersion: settings.version,
          urgent,
        })
      })
    })
  })
}

function tellRoundTrips({ parts, options }: StartContext): void {
  parts.links.use((links) => {
    parts.membership.use((membership) => {
      for (const { instance: peer } of options.peers) {
        const roundTripMs = links.roundTripMs(peer)
        membership.tell({ kind: MembershipEventKind.RoundTrip, peer, roundTripMs })
      }
    })
  })
}

/** Tells membership at a steady pace what this instance offers. @internal */
export function startOffers(context: StartContext): Effect.Effect<void, never, Scope.Scope> {
  const tell = Effect.sync(() => {
    tellRoundTrips(context)
    tellOffer(context, false)
  })
  const repeated = Effect.repeat(tell, Schedule.spaced(context.timing.offerMs))
  return Effect.asVoid(Effect.forkScoped(repeated))
}
