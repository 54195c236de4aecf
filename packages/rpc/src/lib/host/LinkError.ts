/** Why links could not be started or changed. @public */
export enum LinkErrorKind {
  /** The listening socket could not be opened. */
  Listen = 'listen',
  /** An option is out of range. */
  Options = 'options',
}

/** An error of the links between instances. @public */
export class LinkError extends Error {
  override readonly name = 'LinkError'

  constructor(
    readonly kind: LinkErrorKind,
    message: string,
    cause?: unknown,
  ) {
    super(message, { cause })
  }
}
