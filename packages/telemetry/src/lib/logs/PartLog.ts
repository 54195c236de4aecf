/**
 * Structured fields of a log line; `err` takes an Error.
 * A field whose name bunyan reserves, such as `level`, is written with a prefix: `field_level`.
 *
 * @public
 */
export type LogFields = Readonly<Record<string, unknown>>

/** Log of one part of the program; each line starts with the part's name. @public */
export interface PartLog {
  debug(message: string, fields?: LogFields): void
  info(message: string, fields?: LogFields): void
  warn(message: string, fields?: LogFields): void
  error(message: string, fields?: LogFields): void
}
