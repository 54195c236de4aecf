import { isValidName } from '@cherryhitch/model'
import { Schema } from 'effect'

/** Upper bound of cores, megabytes or accelerators; far beyond any worker. */
const MAX_RESOURCE = 1e7
const MAX_TOKEN_LENGTH = 128
const MAX_SENTENCE_LENGTH = 500
const visiblePattern = /^[\x21-\x7e]+$/

/** Name of a service, zone, rack, endpoint or instance. @internal */
export const nameSchema = Schema.String.check(
  Schema.makeFilter((text: string) =>
    isValidName(text) ? undefined : 'is no valid name (1 to 64 letters, digits, - or _)',
  ),
)

/** An amount of cores, memory in megabytes, or accelerators. @internal */
export const resourceSchema = Schema.Number.check(
  Schema.isBetween({ minimum: 0, maximum: MAX_RESOURCE }),
)

/** An opaque id from the client or the system, such as a command id or a disk id. @internal */
export const tokenSchema = Schema.String.check(
  Schema.makeFilter((text: string) =>
    isToken(text) ? undefined : 'must be 1 to 128 visible ASCII characters',
  ),
)

/** Text for the audit record; it must not be blank, as it has to inform auditors. @internal */
export const sentenceSchema = Schema.String.check(
  Schema.makeFilter((text: string) =>
    isSentence(text) ? undefined : 'must be 1 to 500 characters, not all of them blank',
  ),
)

/** A count or version that starts at 0. @internal */
export const countSchema = Schema.Int.check(
  Schema.isBetween({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }),
)

function isToken(text: string): boolean {
  return text.length <= MAX_TOKEN_LENGTH && visiblePattern.test(text)
}

function isSentence(text: string): boolean {
  return text.trim().length > 0 && text.length <= MAX_SENTENCE_LENGTH
}
