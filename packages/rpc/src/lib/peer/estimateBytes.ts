const BYTES_PER_FIELD = 8
const BYTES_PER_NUMBER = 10

/**
 * Upper estimate of the encoded size of a message, without encoding it.
 *
 * It counts the longest tag and length for each field. It knows no map fields: the link's
 * messages have none.
 */
export function estimateBytes(value: unknown): number {
  switch (typeof value) {
    case 'string':
      return value === '' ? 0 : BYTES_PER_FIELD + Buffer.byteLength(value)
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
    if (key !== '$typeName' && key !== 'case') {
      total += estimateBytes((value as Record<string, unknown>)[key])
    }
  }
  return total
}
