/**
 * Fields of a log line beside its sentence; `err` takes an Error.
 * Names of the line itself, such as `level` or `time`, are written as `field_level`.
 *
 * @public
 */
export type LogFields = Readonly<Record<string, unknown>>

/** Log of one part of the program; each line starts with the part's name. @public */
export interface PartLog {
  debug(sentence: string, fields?: LogFields): void
  info(sentence: string, fields?: LogFields): void
  warn(sentence: string, fields?: LogFields): void
  error(sentence: string, fields?: LogFields): void
}
