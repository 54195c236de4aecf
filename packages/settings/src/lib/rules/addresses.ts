import net from 'node:net'

/** Normalizes the spelling of an IP address. */
function canonicalHost(host: string): string {
  return new net.SocketAddress({ address: host, family: net.isIPv6(host) ? 'ipv6' : 'ipv4' })
    .address
}

/** @internal */
export function formatAddress({ host, port }: { host: string; port: number }): string {
  const canonical = canonicalHost(host)
  return canonical.includes(':') ? `[${canonical}]:${port}` : `${canonical}:${port}`
}

/** @internal */
export function isLoopback(host: string): boolean {
  const canonical = canonicalHost(host)
  return canonical === '::1' || canonical.startsWith('127.')
}

/** Whether the address stands for all addresses of the machine. @internal */
export function isWildcard(host: string): boolean {
  return ['0.0.0.0', '::'].includes(canonicalHost(host))
}
