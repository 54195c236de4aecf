/** Host and port of an address. @public */
export interface HostAndPort {
  readonly host: string
  readonly port: number
}

/** Splits an address such as `10.1.0.13:8161`. Removes the brackets of an IPv6 host. @public */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(colon + 1)) }
}
