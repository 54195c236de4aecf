/** Upper bound for the tag and length prefix of a field. */
const BYTES_PER_FIELD = 8
const BYTES_PER_NUMBER = 10

/**
 * Upper bound for the encoded size of a message, computed without encoding it.
 *
 * It assumes the longest tag and length prefix for each field that is encoded. Map fields are not
 * supported: the messages of a link have none.
 */
export function estimateBytes(value: unknown): number {
  switch (typeof value) {
    case 'string':
      return BYTES_PER_FIELD + Buffer.byteLength(value)
    case 'number':
    case 'bigint':
    case 'boolean':
      return BYTES_PER_FIELD + BYTES_PER_NUMBER
    case 'object':
      return value === null ? 0 : estimateObject(value)
    default:
      return 0
  }
}

function estimateObject(value: object): number {
  if (value instanceof Uint8Array) return BYTES_PER_FIELD + value.byteLength
  let total = BYTES_PER_FIELD
  if (Array.isArray(value)) {
    for (const item of value) total += estimateBytes(item)
    return total
  }
  for (const key in value) {
    if (key === '$typeName' || key === 'case') continue
    const field = (value as Record<string, unknown>)[key]
    if (!isDefault(field)) total += estimateBytes(field)
  }
  return total
}

/** Fields with their default value are not encoded; list items always are. */
function isDefault(field: unknown): boolean {
  return field === '' || field === 0 || field === false
}
