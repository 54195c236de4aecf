import { isValidName } from '@cherryhitch/model'
import { startVariableTimer, systemClock } from '@cherryhitch/runtime'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { BatchReceiver } from '../server/BatchReceiver'
import { listenForLinks } from '../server/listenForLinks'
import { newLinkCounters } from './LinkCounters'
import { LinkError, LinkErrorKind } from './LinkError'
import { LinkHost } from './LinkHost'
import type { LinkHostOptions } from './LinkHostOptions'
import { defaultLinkTuning } from './LinkHostOptions'
import { startSelfDelivery } from './startSelfDelivery'

/**
 * Listens for other instances and dials each of them.
 *
 * Fails with a `LinkError` if the socket can't be opened or the instance name is invalid.
 *
 * @public
 */
export function startLinkHost(
  options: LinkHostOptions,
): Effect.Effect<LinkHost, LinkError, Scope.Scope> {
  const { instance, boot, token, tls } = options
  const tuning = { ...defaultLinkTuning, ...options }
  const counters = newLinkCounters()
  return Effect.gen(function* () {
    if (!isValidName(instance)) {
      return yield* Effect.fail(
        new LinkError(LinkErrorKind.Options, `invalid instance name "${instance}"`),
      )
    }
    const delivery = { handlers: options, counters }
    const { maxSenders, receiptGapMs } = tuning
    const receiver = new BatchReceiver({ ...delivery, boot, token, maxSenders, receiptGapMs })
    const port = yield* listenForLinks({ listen: options.listen, tls, tuning, receiver, counters })
    const { maxQueuedEnvelopes } = tuning
    const selfDelivery = yield* startSelfDelivery({
      ...delivery,
      instance,
      boot,
      maxQueuedEnvelopes,
    })
    const clock = options.clock ?? systemClock
    const shared = { ...tuning, ...delivery, instance, boot, token, tls, clock }
    const host = new LinkHost(port, shared, selfDelivery)
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        host.setPeers([])
      }),
    )
    host.setPeers(options.peers)
    yield* startVariableTimer(() => host.tick())
    return host
  })
}
