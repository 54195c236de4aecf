import { HoldFailure, makeHoldFault, StartResult } from '@cherryhitch/protocol'
import type { EndpointOrder } from '@cherryhitch/protocol'
import type { OrderAnswer } from './EndpointGateway'

/**
 * The result of an order that was sent and got no answer: it may have been carried out, or may be
 * carried out later.
 *
 * @public
 */
export function noAnswer({ order }: EndpointOrder, detail: string): OrderAnswer {
  switch (order.case) {
    case 'start':
      return { case: 'started', value: StartResult.UNKNOWN }
    case 'stop':
      return { case: 'stopped', value: false }
    case 'hold':
    case undefined: {
      return { case: 'fault', value: makeHoldFault(HoldFailure.NO_ANSWER, detail) }
    }
  }
}
