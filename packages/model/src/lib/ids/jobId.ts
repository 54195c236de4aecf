import { isValidName } from './isValidName'

/** What a job id says: who coordinates the job, in which boot, and its number there. @public */
export interface JobIdParts {
  readonly coordinator: string
  /** Boot number of the coordinator's process; a later boot does not know the job. */
  readonly boot: number
  readonly sequence: number
}

const RADIX = 36
const PART_COUNT = 3
const numberPattern = /^[0-9a-z]{1,11}$/

/** Writes a job id such as `ishikari-1a.mb2k3x.7`. @public */
export function formatJobId({ coordinator, boot, sequence }: JobIdParts): string {
  return `${coordinator}.${boot.toString(RADIX)}.${sequence.toString(RADIX)}`
}

/** Reads a job id; undefined when the text is none. @public */
export function parseJobId(text: string): JobIdParts | undefined {
  const parts = text.split('.')
  const [coordinator, boot, sequence] = parts
  if (parts.length !== PART_COUNT || coordinator === undefined) return undefined
  if (boot === undefined || sequence === undefined) return undefined
  if (!isValidName(coordinator)) return undefined
  if (!numberPattern.test(boot) || !numberPattern.test(sequence)) return undefined
  return { coordinator, boot: parseInt(boot, RADIX), sequence: parseInt(sequence, RADIX) }
}
