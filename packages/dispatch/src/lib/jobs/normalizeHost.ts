/**
 * The host of a `Host` header, or of the authority in a URL, in the form in which hosts are compared:
 * in lower case, without user information, port and final dot.
 *
 * @public
 */
export function normalizeHost(authority: string): string {
  const host = authority.slice(authority.lastIndexOf('@') + 1).replace(/:\d*$/, '')
  return host.replace(/\.$/, '').toLowerCase()
}
