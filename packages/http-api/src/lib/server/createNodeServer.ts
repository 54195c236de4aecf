import fs from 'node:fs'
import http from 'node:http'
import https from 'node:https'
import type { Result } from 'ts-results'
import { HttpServerError, HttpServerErrorKind } from './HttpServerError'
import type { HttpLimits, TlsFiles } from './HttpServerOptions'
import { Err, Ok } from '@cherryhitch/model'

/** TCP keepalive: finds peers that are gone while a long request waits, in milliseconds. */
const TCP_KEEP_ALIVE_MS = 15_000
/** Timeouts of heads are looked for this often within one timeout. */
const CHECKS_PER_TIMEOUT = 4

/** Makes the server of Node's `http` or `https`, with the limits set. @internal */
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
    const message = `can't use the key ${tls.keyFile} with the certificate ${tls.certFile}`
    return Err(new HttpServerError(HttpServerErrorKind.TlsUnusable, message, err))
  }
}

function nodeOptions(limits: HttpLimits): http.ServerOptions {
  return {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.requestTimeoutMs,
    // Bodies have a timeout of their own, which can answer; this one only cuts off.
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
  // Past this number Node drops headers in silence, the Idempotency-Key among them. The
  // limit on the head's size bounds them already.
  server.maxHeadersCount = 0
  return server
}
