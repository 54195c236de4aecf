/**
 * Name of the instance at an IP address. Instances are named after their addresses, so a name is
 * enough to connect to one. Names may not contain dots.
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
