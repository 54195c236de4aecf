/**
 * Decodes what is percent-encoded in a path. A percent sign that encodes nothing stands for itself,
 * and invalid UTF-8 becomes U+FFFD, so every path can be compared with every other.
 *
 * @public
 */
export function decodePath(path: string): string {
  const bytes = Buffer.from(path, 'utf8').toString('latin1')
  const decoded = bytes.replace(/%([0-9a-f]{2})/gi, (_, code: string) => {
    return String.fromCharCode(parseInt(code, 16))
  })
  return Buffer.from(decoded, 'latin1').toString('utf8')
}
