import http from 'node:http'

export interface HttpCall {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers?: http.OutgoingHttpHeaders
  readonly body?: string
  readonly timeoutMs: number
  /** Keeps connections open; a connection of its own by default. */
  readonly agent?: http.Agent
}

export interface EndedCall {
  /** 0 without an answer in time. */
  readonly status: number
  readonly body: string
  /** Where to send it instead. */
  readonly location: string | undefined
  readonly tookMs: number
}

/** Sends a request; never rejects. */
export function callHttp(call: HttpCall): Promise<EndedCall> {
  const { address, method, path, body, timeoutMs, agent = new http.Agent() } = call
  const startedAt = performance.now()
  const json = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body ?? ''),
  }
  const headers = { ...(body !== undefined && json), ...call.headers }
  return new Promise((resolve) => {
    const end = (status: number, text: string, location?: string): void => {
      clearTimeout(timer)
      resolve({ status, body: text, location, tookMs: performance.now() - startedAt })
    }
    const options = { method, headers, agent }
    const req = http.request(`http://${address}${path}`, options, (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('error', () => {
        end(0, '')
      })
      res.on('end', () => {
        if (res.complete)
          end(res.statusCode ?? 0, Buffer.concat(chunks).toString(), res.headers.location)
        else end(0, '')
      })
    })
    const timer = setTimeout(() => {
      req.destroy()
      end(0, '')
    }, timeoutMs)
    req.on('error', () => {
      end(0, '')
    })
    req.end(body)
  })
}
