import http2 from 'node:http2'
import type { AddressInfo } from 'node:net'
import { LinkService } from '@cherryhitch/protocol'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { Effect } from 'effect'
import type { Scope } from 'effect'
import { LinkError, LinkErrorKind } from '../host/LinkError'
import type { LinkCounters } from '../host/LinkCounters'
import type { LinkTls, LinkTuning } from '../host/LinkHostOptions'
import type { BatchReceiver } from './BatchReceiver'

/** @internal */
export interface ListenOptions {
  readonly listen: { readonly host: string; readonly port: number }
  readonly tls: LinkTls | undefined
  readonly tuning: LinkTuning
  readonly receiver: BatchReceiver
  readonly counters: LinkCounters
}

/** Flow-control window, larger than a usual batch, so that a batch needs no window update. */
const WINDOW_BYTES = 2 * 1024 * 1024
/** Upper bound for the fields of a batch other than its envelopes. */
const BATCH_HEADER_BYTES = 1024

/** Opens the listening socket, which closes with the scope; returns its port. @internal */
export function listenForLinks(
  options: ListenOptions,
): Effect.Effect<number, LinkError, Scope.Scope> {
  return Effect.gen(function* () {
    const sessions = new Set<http2.ServerHttp2Session>()
    const server = createServer(options)
    trackSessions(server, sessions, options)
    yield* Effect.acquireRelease(listen(server, options), () => closeServer(server, sessions))
    return (server.address() as AddressInfo).port
  })
}

function createServer(options: ListenOptions): http2.Http2Server {
  const { tuning, receiver, tls } = options
  const handler = connectNodeAdapter({
    grpc: false,
    grpcWeb: false,
    acceptCompression: [],
    readMaxBytes: tuning.maxEnvelopeBytes + tuning.maxBatchBytes + BATCH_HEADER_BYTES,
    routes: (router) => {
      router.service(LinkService, {
        exchange: (batches, context) => receiver.exchange(batches, context),
      })
    },
  })
  const settings = { initialWindowSize: WINDOW_BYTES }
  if (tls === undefined) return http2.createServer({ settings }, handler)
  const mutual = tls.ca === undefined ? {} : { requestCert: true, rejectUnauthorized: true }
  return http2.createSecureServer({ settings, ...tls, ...mutual }, handler)
}

function trackSessions(
  server: http2.Http2Server,
  sessions: Set<http2.ServerHttp2Session>,
  { tuning, counters }: ListenOptions,
): void {
  server.on('session', (session) => {
    sessions.add(session)
    session.setLocalWindowSize(WINDOW_BYTES)
    session.setTimeout(tuning.idleSessionMs, () => {
      session.destroy()
    })
    session.on('close', () => sessions.delete(session))
  })
  // Expected errors: resets by a sender that closes a connection, and clients without HTTP/2.
  server.on('sessionError', () => {
    counters.failedSessions += 1
  })
}

function listen(
  server: http2.Http2Server,
  { listen: { host, port } }: ListenOptions,
): Effect.Effect<void, LinkError> {
  return Effect.callback((resume) => {
    const onError = (err: Error): void => {
      const message = `cannot listen on ${host}:${port}: ${err.message}`
      resume(Effect.fail(new LinkError(LinkErrorKind.Listen, message, err)))
    }
    server.once('error', onError)
    server.listen({ host, port }, () => {
      server.off('error', onError)
      resume(Effect.void)
    })
  })
}

function closeServer(
  server: http2.Http2Server,
  sessions: ReadonlySet<http2.ServerHttp2Session>,
): Effect.Effect<void> {
  return Effect.callback((resume) => {
    server.close(() => {
      resume(Effect.void)
    })
    for (const session of sessions) session.destroy()
  })
}
