import { isValidName } from './isValidName'

/** Components of a job id: its coordinator, the boot of that instance, and a number. @public */
export interface JobIdParts {
  readonly coordinator: string
  /** Boot number of the coordinator; the job is unknown to later boots of that instance. */
  readonly boot: number
  readonly sequence: number
}

const RADIX = 36
const PART_COUNT = 3
const numberPattern = /^[0-9a-z]{1,11}$/

/** Formats a job id such as `ishikari-1a.mb2k3x.7`. @public */
export function formatJobId({ coordinator, boot, sequence }: JobIdParts): string {
  return `${coordinator}.${boot.toString(RADIX)}.${sequence.toString(RADIX)}`
}

/** Parses a job id; undefined if the text is not one. @public */
export function parseJobId(text: string): JobIdParts | undefined {
  const parts = text.split('.')
  const [coordinator, boot, sequence] = parts
  if (parts.length !== PART_COUNT || coordinator === undefined) return undefined
  if (boot === undefined || sequence === undefined) return undefined
  if (!isValidName(coordinator)) return undefined
  if (!numberPattern.test(boot) || !numberPattern.test(sequence)) return undefined
  return { coordinator, boot: parseInt(boot, RADIX), sequence: parseInt(sequence, RADIX) }
}
