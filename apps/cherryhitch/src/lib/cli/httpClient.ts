import fs from 'node:fs'
import http from 'node:http'
import https from 'node:https'
import { CliError, usageError } from './CliError'
import type { CliIo } from './CliIo'
import { ExitCode } from './ExitCode'

/** Options that every command which asks an instance shares. @internal */
export interface ConnectionFlags {
  /** URL of an instance's interface, such as http://127.0.0.1:7002. */
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

/** Asks one instance. @internal */
export class HttpClient {
  private constructor(
    private readonly base: URL,
    private readonly token: string | undefined,
  ) {}

  /** @throws CliError when the address or the token file is missing or wrong */
  static open(flags: ConnectionFlags, io: CliIo, variable: string, fallback: string): HttpClient {
    const text = flags.url ?? io.env[variable] ?? fallback
    if (!URL.canParse(text)) {
      throw usageError(`"${text}" is not a URL.`, 'Give one such as --url http://127.0.0.1:7002.')
    }
    const tokenFile = flags.tokenFile ?? io.env.CHERRYHITCH_TOKEN_FILE
    return new HttpClient(new URL(text), tokenFile === undefined ? undefined : readToken(tokenFile))
  }

  /** @throws CliError when the instance can't be reached or doesn't speak JSON */
  async ask(question: HttpQuestion): Promise<HttpAnswer> {
    const { status, text } = await this.exchange(question).catch((err: unknown) => {
      throw this.unreachable(err)
    })
    try {
      return { status, body: text === '' ? undefined : (JSON.parse(text) as unknown) }
    } catch {
      throw new CliError(
        ExitCode.Failed,
        `${this.base.origin} answered ${status} with a body that is not JSON.`,
        'Check that the URL is an interface of a cherryhitch instance.',
      )
    }
  }

  private exchange(question: HttpQuestion): Promise<{ status: number; text: string }> {
    const transport = this.base.protocol === 'https:' ? https : http
    const payload = question.body === undefined ? undefined : JSON.stringify(question.body)
    const headers = {
      accept: 'application/json',
      ...(payload === undefined ? {} : { 'content-type': 'application/json' }),
      ...(this.token === undefined ? {} : { authorization: `Bearer ${this.token}` }),
      ...question.headers,
    }
    return new Promise((resolve, reject) => {
      const url = new URL(question.path, this.base)
      const req = transport.request(url, { method: question.method, headers }, (res) => {
        const chunks: Buffer[] = []
        res.on('data', (chunk: Buffer) => chunks.push(chunk))
        res.on('error', reject)
        res.on('end', () => {
          resolve({ status: res.statusCode ?? 0, text: Buffer.concat(chunks).toString('utf8') })
        })
      })
      req.on('error', reject)
      req.end(payload)
    })
  }

  private unreachable(cause: unknown): CliError {
    const detail = cause instanceof Error ? cause.message : String(cause)
    return new CliError(
      ExitCode.Unreachable,
      `${this.base.origin} did not answer: ${detail}.`,
      'Check --url, or try another instance.',
    )
  }
}

function readToken(file: string): string {
  try {
    return fs.readFileSync(file, 'utf8').trim()
  } catch {
    throw usageError(`The token file ${file} can't be read.`, 'Check --token-file.')
  }
}
