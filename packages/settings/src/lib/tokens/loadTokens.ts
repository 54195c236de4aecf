import fs from 'node:fs'
import type { Result } from 'ts-results'
import type { SettingsProblem } from '../problems/SettingsProblem'
import type { TokenSettings } from '../schema/Settings'
import { Err, Ok } from '@cherryhitch/model'

/** Shorter tokens can be guessed. */
const MIN_TOKEN_LENGTH = 16
/** Printable ASCII without spaces, which an HTTP header can carry as one word. */
const tokenPattern = /^[\x21-\x7e]+$/

/** The contents of the token files. @public */
export interface Tokens {
  readonly callers: readonly {
    readonly caller: string
    readonly token: string
    readonly weight: number
  }[]
  readonly endpoints: string
  readonly operators: readonly { readonly operator: string; readonly token: string }[]
  readonly instances: string
}

/** Reads token files and collects their problems; no message contains a token. */
class TokenReader {
  readonly problems: SettingsProblem[] = []
  private readonly settingByToken = new Map<string, string>()

  read(file: string, setting: string): string {
    const token = this.readFile(file, setting)?.trim()
    if (token === undefined) return ''
    const report = (found: string, allowed: string) => {
      this.problems.push({ file, line: 0, setting, found, allowed })
    }
    const allowed = `one token of ${MIN_TOKEN_LENGTH} or more printable characters without spaces`
    if (token.length < MIN_TOKEN_LENGTH) report(`${token.length} characters`, allowed)
    else if (!tokenPattern.test(token)) report('spaces or characters that are not ASCII', allowed)
    const other = this.settingByToken.get(token)
    if (other !== undefined) report(`the token of ${other}`, 'a token of its own')
    else if (token !== '') this.settingByToken.set(token, setting)
    return token
  }

  private readFile(file: string, setting: string): string | undefined {
    try {
      return fs.readFileSync(file, 'utf8')
    } catch (err) {
      const found = `no readable file (${err instanceof Error ? err.message : String(err)})`
      this.problems.push({ file, line: 0, setting, found, allowed: 'a file with a token' })
      return undefined
    }
  }
}

/**
 * Reads the token files that the settings name.
 *
 * @returns the tokens, or all problems; a token used twice is a problem, since the audit record
 *   could not tell its users apart
 * @public
 */
export function loadTokens(settings: TokenSettings): Result<Tokens, readonly SettingsProblem[]> {
  const reader = new TokenReader()
  const tokens: Tokens = {
    callers: settings.callers.map(({ caller, file, weight }, i) => ({
      caller,
      token: reader.read(file, `tokens.callers[${i}].file`),
      weight,
    })),
    endpoints: reader.read(settings.endpoints, 'tokens.endpoints'),
    operators: settings.operators.map(({ operator, file }, i) => ({
      operator,
      token: reader.read(file, `tokens.operators[${i}].file`),
    })),
    instances: reader.read(settings.instances, 'tokens.instances'),
  }
  return reader.problems.length > 0 ? Err(reader.problems) : Ok(tokens)
}
