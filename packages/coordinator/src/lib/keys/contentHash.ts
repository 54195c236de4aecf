import { createHash } from 'node:crypto'
import type { JobSpec, TaskSpec } from '@cherryhitch/protocol'

/**
 * Returns the SHA-256 hash of a job's content, in hexadecimal. Two submissions with the same key
 * count as the same job only if their hashes are equal.
 *
 * Each field is prefixed with its length, so that different jobs never yield the same input. The
 * deadline, the trace context and declared run times are not included, because a resend may have
 * other values for them.
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
  const amounts = [resources?.cores, resources?.memoryMb, resources?.accelerators]
  const fields = [service, payload, ...amounts.map((amount) => String(amount ?? 0))]
  return fields.map((field) => `/${field.length}:${field}`).join('')
}
