import fs from 'node:fs'
import http from 'node:http'
import https from 'node:https'
import type { Result } from 'ts-results'
import { HttpServerError, HttpServerErrorKind } from './HttpServerError'
import type { HttpLimits, TlsFiles } from './HttpServerOptions'
import { Err, Ok } from '@cherryhitch/model'

/** TCP keepalive delay in milliseconds; detects lost peers while a long request waits. */
const TCP_KEEP_ALIVE_MS = 15_000
/** How many times per timeout Node checks for expired request heads. */
const CHECKS_PER_TIMEOUT = 4

/** Creates Node's `http` or `https` server with the limits applied. @internal */
export function createNodeServer(
  limits: HttpLimits,
  tls: TlsFiles | undefined,
): Result<http.Server, HttpServerError> {
  const options = nodeOptions(limits)
  if (tls === undefined) return Ok(applyLimits(http.createServer(options), limits))
  try {
    const key = fs.readFileSync(tls.keyFile)
    const cert = fs.readFileSync(tls.certFile)
    return Ok(applyLimits(https.createServer({ ...options, key, cert }), limits))
  } catch (err) {
    const message = `can't load TLS key ${tls.keyFile} and certificate ${tls.certFile}`
    return Err(new HttpServerError(HttpServerErrorKind.TlsUnusable, message, err))
  }
}

function nodeOptions(limits: HttpLimits): http.ServerOptions {
  return {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.requestTimeoutMs,
    // BodyReader has its own timeout, which can respond; this one would only close the socket.
    requestTimeout: 0,
    keepAliveTimeout: limits.idleTimeoutMs,
    connectionsCheckingInterval: Math.ceil(limits.requestTimeoutMs / CHECKS_PER_TIMEOUT),
    keepAlive: true,
    keepAliveInitialDelay: TCP_KEEP_ALIVE_MS,
    // Checked by Exchange, which answers with a problem document.
    requireHostHeader: false,
  }
}

function applyLimits(server: http.Server, limits: HttpLimits): http.Server {
  server.maxConnections = limits.connections
  // Past this number Node silently drops headers, possibly the Idempotency-Key. The limit on
  // the size of the head already bounds them.
  server.maxHeadersCount = 0
  return server
}
