import fs from 'node:fs'
import http from 'node:http'
import https from 'node:https'
import { CliError, usageError } from '../CliError'
import type { CliIo } from '../CliIo'
import { ExitCode } from '../ExitCode'

/** Options that every command which asks an instance shares. @internal */
export interface ConnectionFlags {
  /** URL of an instance's interface, such as http://127.0.0.1:7113. */
  readonly url?: string
  readonly tokenFile?: string
  readonly json?: boolean
}

/** An HTTP answer with its JSON body. @internal */
export interface HttpAnswer {
  readonly status: number
  readonly body: unknown
}

/** @internal */
export interface HttpQuestion {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: unknown
}

/** Where a client's address comes from when no flag gives it. @internal */
export interface AddressSource {
  readonly variable: string
  readonly fallback: string
}

/** Longer than an instance takes to give up on the quorum (6 s). */
const SILENCE_LIMIT_MS = 20_000

/** Asks one instance, each time on a connection of its own, since an old one may be silent. @internal */
export class HttpClient {
  private constructor(
    private readonly base: URL,
    private readonly token: string | undefined,
  ) {}

  /** @throws CliError when the address or the token file is missing or wrong */
  static open(flags: ConnectionFlags, io: CliIo, source: AddressSource): HttpClient {
    const text = flags.url ?? io.env[source.variable] ?? source.fallback
    if (!URL.canParse(text) || !/^https?:$/.test(new URL(text).protocol)) {
      throw usageError(`"${text}" is not a URL.`, `Give one such as --url ${source.fallback}.`)
    }
    const tokenFile = flags.tokenFile ?? io.env.CHERRYHITCH_TOKEN_FILE
    return new HttpClient(new URL(text), tokenFile === undefined ? undefined : readToken(tokenFile))
  }

  /** @throws CliError when there is no answer, or one that isn't JSON */
  async ask(question: HttpQuestion): Promise<HttpAnswer> {
    const { status, text } = await this.exchange(question)
    try {
      return { status, body: text === '' ? undefined : (JSON.parse(text) as unknown) }
    } catch {
      throw new CliError(
        question.method === 'GET' ? ExitCode.Failed : ExitCode.Unknown,
        `${this.base.origin} answered ${status} with a body that is not JSON.`,
        'Check that --url is an interface of a cherryhitch instance.',
      )
    }
  }

  private exchange(question: HttpQuestion): Promise<{ status: number; text: string }> {
    const { method } = question
    const transport = this.base.protocol === 'https:' ? https : http
    const payload = question.body === undefined ? undefined : JSON.stringify(question.body)
    const headers = this.headersOf(question)
    return new Promise((resolve, reject) => {
      // Before the connection stands nothing was sent; after that the request may have arrived.
      let connected = false
      const fail = (err: Error): void => {
        reject(connected && method !== 'GET' ? this.unknown(err) : this.unreachable(err))
      }
      const options = { method, headers, agent: false as const, timeout: SILENCE_LIMIT_MS }
      const req = transport.request(new URL(question.path, this.base), options, (res) => {
        const chunks: Buffer[] = []
        res.on('data', (chunk: Buffer) => chunks.push(chunk))
        res.on('error', fail)
        res.on('end', () => {
          resolve({ status: res.statusCode ?? 0, text: Buffer.concat(chunks).toString('utf8') })
        })
      })
      req.on('socket', (socket) => {
        socket.once('connect', () => {
          connected = true
        })
      })
      req.on('timeout', () => req.destroy(new Error(`silent for ${SILENCE_LIMIT_MS} ms`)))
      req.on('error', fail)
      req.end(payload)
    })
  }

  private headersOf({ body, headers }: HttpQuestion): Readonly<Record<string, string>> {
    return {
      accept: 'application/json',
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      ...(this.token === undefined ? {} : { authorization: `Bearer ${this.token}` }),
      ...headers,
    }
  }

  private unreachable(cause: Error): CliError {
    return new CliError(
      ExitCode.Unreachable,
      `${this.base.origin} did not answer: ${describe(cause)}.`,
      'Check --url and that the instance runs, or ask another instance.',
    )
  }

  private unknown(cause: Error): CliError {
    return new CliError(
      ExitCode.Unknown,
      `The connection to ${this.base.origin} was lost before the answer: ${describe(cause)}.`,
      'It may have run: find out before you send it again.',
    )
  }
}

/** Node gives some errors no message, such as those of several addresses at once. */
function describe(cause: Error): string {
  if (cause.message !== '') return cause.message
  return 'code' in cause ? String(cause.code) : cause.name
}

function readToken(file: string): string {
  try {
    return fs.readFileSync(file, 'utf8').trim()
  } catch {
    throw usageError(`The token file ${file} can't be read.`, 'Check --token-file.')
  }
}
