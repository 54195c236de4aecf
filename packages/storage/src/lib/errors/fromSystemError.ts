import { StorageError, StorageErrorKind } from './StorageError'

const kindByCode: Readonly<Record<string, StorageErrorKind>> = {
  ENOSPC: StorageErrorKind.DiskFull,
  EDQUOT: StorageErrorKind.DiskFull,
  EACCES: StorageErrorKind.NotPermitted,
  EPERM: StorageErrorKind.NotPermitted,
  EROFS: StorageErrorKind.NotPermitted,
}

/** The code of a Node.js system error, such as `ENOSPC`; undefined for other values. @internal */
export function systemErrorCode(err: unknown): string | undefined {
  if (!(err instanceof Error) || !('code' in err)) return undefined
  return typeof err.code === 'string' ? err.code : undefined
}

/**
 * Converts an operating system error to a {@link StorageError}.
 *
 * @param fallback - kind for error codes without a specific kind
 * @internal
 */
export function fromSystemError(
  err: unknown,
  file: string,
  fallback: StorageErrorKind,
): StorageError {
  if (err instanceof StorageError) return err
  const code = systemErrorCode(err)
  const kind = (code === undefined ? undefined : kindByCode[code]) ?? fallback
  const detail = err instanceof Error ? err.message : String(err)
  return new StorageError({ kind, file, detail, cause: err })
}
