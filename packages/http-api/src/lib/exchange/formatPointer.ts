/** Formats a path as a JSON Pointer (RFC 6901), such as `/tasks/0/service`. @internal */
export function formatPointer(path: readonly PropertyKey[]): string {
  if (path.length === 0) return 'the body'
  return path.map((key) => `/${escapeKey(String(key))}`).join('')
}

function escapeKey(key: string): string {
  return key.replaceAll('~', '~0').replaceAll('/', '~1')
}
