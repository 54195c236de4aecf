/** One HTTP call on a connection of its own. */
import http from 'node:http'

/**
 * @returns the status and the body; status 0 if the connection broke or nothing came in time
 */
export function call({ address, method, path, headers = {}, body, timeoutMs = 5_000 }) {
  const colonAt = address.lastIndexOf(':')
  const host = address.slice(0, colonAt)
  const port = Number(address.slice(colonAt + 1))
  const text =
    body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body)
  return new Promise((resolve) => {
    const all = { host: address, ...headers }
    if (text !== undefined) all['content-type'] = 'application/json'
    const req = http.request({ host, port, method, path, headers: all, agent: false }, (res) => {
      let answer = ''
      res.setEncoding('utf8')
      res.on('data', (part) => (answer += part))
      res.on('end', () => resolve({ status: res.statusCode ?? 0, body: answer }))
      res.on('error', (err) => resolve({ status: 0, body: err.message }))
    })
    req.setTimeout(timeoutMs, () => req.destroy(new Error('no answer in time')))
    req.on('error', (err) => resolve({ status: 0, body: err.message }))
    if (text !== undefined) req.write(text)
    req.end()
  })
}

export function parse(text) {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
