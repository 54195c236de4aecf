import { MembershipEventKind } from '@cherryhitch/membership'
import { Effect, Schedule } from 'effect'
import type { Scope } from 'effect'
import type { StartContext } from './StartContext'

/** Publishes this instance's capacity to membership; urgently after a large change. @internal */
export function publishOffer({ parts, settings }: StartContext, urgent: boolean): void {
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

function publishRoundTrips({ parts, options }: StartContext): void {
  parts.links.use((links) => {
    parts.membership.use((membership) => {
      for (const { instance: peer } of options.peers) {
        const roundTripMs = links.roundTripMs(peer)
        membership.tell({ kind: MembershipEventKind.RoundTrip, peer, roundTripMs })
      }
    })
  })
}

/** Publishes round-trip times and the capacity of this instance at a fixed interval. @internal */
export function startPublishingOffers(
  context: StartContext,
): Effect.Effect<void, never, Scope.Scope> {
  const publish = Effect.sync(() => {
    publishRoundTrips(context)
    publishOffer(context, false)
  })
  const repeated = Effect.repeat(publish, Schedule.spaced(context.timing.offerMs))
  return Effect.asVoid(Effect.forkScoped(repeated))
}
