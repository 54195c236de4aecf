/** Host and port of an address. @public */
export interface HostAndPort {
  readonly host: string
  readonly port: number
}

/** Splits a text such as `10.1.0.13:8161`; the brackets of an IPv6 host are left out. @public */
export function splitAddress(address: string): HostAndPort {
  const cut = address.lastIndexOf(':')
  const host = address.slice(0, cut).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(cut + 1)) }
}
