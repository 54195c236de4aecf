const DIGITS = 16
const SUFFIX = '.seg'

/** File name of the segment whose first record has this sequence number. @internal */
export function segmentName(log: string, first: number): string {
  return `${log}.${first.toString().padStart(DIGITS, '0')}${SUFFIX}`
}

/** Whether a file name belongs to a segment of this log. @internal */
export function isSegmentName(log: string, file: string): boolean {
  if (!file.startsWith(`${log}.`) || !file.endsWith(SUFFIX)) return false
  return /^\d{16}$/.test(file.slice(log.length + 1, -SUFFIX.length))
}
