/** An answer that is ready to be sent. @public */
export interface Reply {
  readonly status: number
  readonly contentType: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body: string
  /** Whether the client is to open its next connection anew, which may go to another instance. */
  readonly close?: boolean
}

export const JSON_TYPE = 'application/json'
export const PROBLEM_TYPE = 'application/problem+json'

/** Makes a reply of a value that is written as JSON. @public */
export function jsonReply(
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): Reply {
  return { status, contentType: JSON_TYPE, headers, body: JSON.stringify(value) }
}
