import { createHash, timingSafeEqual } from 'node:crypto'

const SCHEME = 'Bearer '

/** Compares an `authorization` header with the token, in time that tells nothing of the token. */
export function tokenMatches(header: string | null, token: string): boolean {
  const given = header?.startsWith(SCHEME) === true ? header.slice(SCHEME.length) : ''
  return timingSafeEqual(digest(given), digest(token))
}

/** Digests have one length, whatever was given. */
function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
