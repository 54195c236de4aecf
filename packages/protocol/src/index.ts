/**
 * Messages between instances, and records that instances store.
 *
 * They are defined in the proto files under `proto/`; `npm run generate` generates `src/lib/gen`.
 *
 * @packageDocumentation
 */
export * from './lib/gen/cherryhitch/v1/control_pb'
export * from './lib/gen/cherryhitch/v1/dispatch_pb'
export * from './lib/gen/cherryhitch/v1/endpoints_pb'
export * from './lib/gen/cherryhitch/v1/jobs_pb'
export * from './lib/gen/cherryhitch/v1/link_pb'
export { envelope, wrapMessage } from './lib/envelope'
export type { EnvelopeBody, EnvelopeCase, EnvelopeValue } from './lib/envelope'
export {
  makeEndpointAnswer,
  makeEndpointCapacity,
  makeEndpointOrder,
  makeHoldFault,
  makeHoldOrder,
  makeHoldReport,
  makeJobOutcome,
  makeJobStep,
  makeListedRun,
  makeListedRunEnd,
  makeStartOrder,
  makeSteppedJob,
  makeStopOrder,
  makeSubmitJob,
} from './lib/text/messages'
export { decodeText, encodeText } from './lib/text/textCodec'
