import { createHash, timingSafeEqual } from 'node:crypto'

const SCHEME = 'Bearer '

/** Compares an `authorization` header with the token in constant time. */
export function tokenMatches(header: string | null, token: string): boolean {
  const given = header?.startsWith(SCHEME) === true ? header.slice(SCHEME.length) : ''
  return timingSafeEqual(digest(given), digest(token))
}

/** Digests have equal lengths, as `timingSafeEqual` requires. */
function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
