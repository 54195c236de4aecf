/** An HTTP response. @public */
export interface Reply {
  readonly status: number
  readonly contentType: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body: string
  /** Closes the connection, so that the next one may be balanced to another instance. */
  readonly close?: boolean
}

export const JSON_TYPE = 'application/json'
export const PROBLEM_TYPE = 'application/problem+json'

/** Creates a response with a value serialized as JSON. @public */
export function jsonReply(
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): Reply {
  return { status, contentType: JSON_TYPE, headers, body: JSON.stringify(value) }
}
