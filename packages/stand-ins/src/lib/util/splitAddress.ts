/** Host and port of an address. @internal */
export interface HostAndPort {
  readonly host: string
  readonly port: number
}

/** Splits `host:port`. @internal */
export function splitAddress(address: string): HostAndPort {
  const cut = address.lastIndexOf(':')
  return { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) }
}
