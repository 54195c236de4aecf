/**
 * Links between instances: one long-lived stream in each direction that carries batches of typed
 * envelopes.
 *
 * @packageDocumentation
 */
export { LinkError, LinkErrorKind } from './lib/host/LinkError'
export type { LinkCounters } from './lib/host/LinkCounters'
export { LinkHost } from './lib/host/LinkHost'
export { defaultLinkTuning } from './lib/host/LinkHostOptions'
export type {
  LinkHandlers,
  LinkHostOptions,
  LinkPeer,
  LinkTls,
  LinkTuning,
} from './lib/host/LinkHostOptions'
export { startLinkHost } from './lib/host/startLinkHost'
