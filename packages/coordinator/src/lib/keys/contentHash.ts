import { createHash } from 'node:crypto'
import type { JobSpec, TaskSpec } from '@cherryhitch/protocol'

/**
 * SHA-256 over what a job asks for, hexadecimal. Two submissions with one key are the same only
 * when it is equal.
 *
 * Each field is written with its length, so that no two jobs have the same text. The deadline,
 * the trace and declared run times are left out: a resend may state them anew.
 *
 * @internal
 */
export function contentHash(spec: JobSpec): string {
  const hash = createHash('sha256')
  hash.update(spec.idempotent ? 'idempotent' : 'once')
  hash.update(`/${spec.tasks.length}`)
  for (const task of spec.tasks) hash.update(encodeTask(task))
  return hash.digest('hex')
}

function encodeTask({ service, payload, resources }: TaskSpec): string {
  const needs = [resources?.cores, resources?.memoryMb, resources?.accelerators]
  const fields = [service, payload, ...needs.map((need) => String(need ?? 0))]
  return fields.map((field) => `/${field.length}:${field}`).join('')
}
