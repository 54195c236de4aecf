/** Host and port of a text such as `10.1.0.13:8161`. @internal */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const cut = address.lastIndexOf(':')
  return { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) }
}
