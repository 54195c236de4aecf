/** Longest tag and length of a field. */
const BYTES_PER_FIELD = 8
const BYTES_PER_NUMBER = 10

/**
 * Upper estimate of the encoded size of a message, without encoding it.
 *
 * It counts the longest tag and length for each field that is written. It knows no map fields:
 * the link's messages have none.
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

/** Fields at their default are not written; items of a list always are. */
function isDefault(field: unknown): boolean {
  return field === '' || field === 0 || field === false
}
