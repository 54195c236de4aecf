import http from 'node:http'

interface HttpAnswer {
  readonly status: number
  readonly text: string
}

/** A change of settings may wait this long for a new leader. */
const TIMEOUT_MS = 8000

function ask(port: number, method: string, path: string, body?: unknown): Promise<HttpAnswer> {
  const payload = body === undefined ? undefined : JSON.stringify(body)
  return new Promise((resolve, reject) => {
    const headers = {
      'cherryhitch-operator': 'bench',
      ...(payload === undefined ? {} : { 'content-type': 'application/json' }),
    }
    const options = { host: '127.0.0.1', port, method, path, headers, timeout: TIMEOUT_MS }
    const req = http.request(options, (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('error', reject)
      res.on('end', () => {
        resolve({ status: res.statusCode ?? 0, text: Buffer.concat(chunks).toString('utf8') })
      })
    })
    req.on('timeout', () => req.destroy(new Error('timeout')))
    req.on('error', reject)
    req.end(payload)
  })
}

interface InstanceList {
  readonly instances: readonly {
    readonly alive: boolean
    readonly state: string
    readonly services: readonly { readonly slots: number }[]
  }[]
}

interface SettingsView {
  readonly version: number
  readonly preset: string
}

const GOOD = 200
const CONFLICT = 409

/** Another change came first. */
export class ChangeConflict extends Error {}

function readVersion({ status, text }: HttpAnswer): number {
  if (status === CONFLICT) throw new ChangeConflict(text)
  if (status !== GOOD) throw new Error(`the change was not applied: HTTP ${status} ${text}`)
  return (JSON.parse(text) as SettingsView).version
}

/** The bench's way to the operator interface of one instance. */
export class OperatorClient {
  constructor(private readonly port: number) {}

  async isReady(): Promise<boolean> {
    const answer = await ask(this.port, 'GET', '/readyz').catch(() => undefined)
    return answer?.status === GOOD
  }

  /** Slots of all owners that this instance knows. */
  async knownSlots(): Promise<number> {
    const answer = await ask(this.port, 'GET', '/v1/instances')
    const { instances } = JSON.parse(answer.text) as InstanceList
    const offers = instances.filter(({ alive }) => alive).flatMap(({ services }) => services)
    return offers.reduce((sum, { slots }) => sum + slots, 0)
  }

  async settings(): Promise<SettingsView> {
    const answer = await ask(this.port, 'GET', '/v1/settings')
    return JSON.parse(answer.text) as SettingsView
  }

  /**
   * @returns the version that the change made
   * @throws Error when it was not applied
   */
  async setPreset(name: string, fromVersion: number, commandId: string): Promise<number> {
    const body = { name, fromVersion, reason: 'bench', commandId }
    return readVersion(await ask(this.port, 'PUT', '/v1/preset', body))
  }

  /**
   * @returns the version that the change made
   * @throws Error when it was not applied
   */
  async definePreset(
    name: string,
    definition: unknown,
    fromVersion: number,
    commandId: string,
  ): Promise<number> {
    const body = { definition, fromVersion, reason: 'bench', commandId }
    return readVersion(await ask(this.port, 'PUT', `/v1/presets/${name}`, body))
  }

  /** All records of the audit record, oldest first. */
  async audit(): Promise<readonly unknown[]> {
    const records: unknown[] = []
    for (;;) {
      const answer = await ask(this.port, 'GET', `/v1/audit?from=${records.length}&limit=1000`)
      const page = JSON.parse(answer.text) as { readonly records: readonly unknown[] }
      if (page.records.length === 0) return records
      records.push(...page.records)
    }
  }
}
