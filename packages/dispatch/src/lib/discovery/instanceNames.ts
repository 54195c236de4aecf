/**
 * Name of the instance at an IP address. Instances are named by their addresses, so that whoever
 * hears of one knows where it is; names take no dots.
 *
 * @public
 */
export function instanceAt(host: string): string {
  return host.replaceAll('.', '-')
}

/** IP address of an instance. @public */
export function hostOf(instance: string): string {
  return instance.replaceAll('-', '.')
}
