import type { AuditRow } from '../../http/operatorViews'

/** Reads records from a position on, a number at most. @internal */
export type ReadPage = (from: number, limit: number) => Promise<readonly AuditRow[]>

/**
 * Reads the newest records that are wanted, page by page from the end of the record, which may be
 * long. The end is not told by any instance, so it is searched for: some twenty small requests
 * for a million records.
 *
 * @internal
 */
export async function readLastRows(
  readPage: ReadPage,
  count: number,
  isWanted: (row: AuditRow) => boolean,
  pageSize: number,
): Promise<readonly AuditRow[]> {
  let end = await findEnd(readPage)
  let rows: readonly AuditRow[] = []
  while (end > 0 && rows.length < count) {
    const start = Math.max(0, end - pageSize)
    const page = await readPage(start, end - start)
    rows = [...page.filter(isWanted), ...rows]
    end = start
  }
  return count === 0 ? [] : rows.slice(-count)
}

/** The first position without a record. */
async function findEnd(readPage: ReadPage): Promise<number> {
  const isThere = async (position: number) => (await readPage(position, 1)).length > 0
  let high = 1
  while (await isThere(high)) high *= 2
  let low = 0
  while (low < high) {
    const middle = Math.floor((low + high) / 2)
    if (await isThere(middle)) low = middle + 1
    else high = middle
  }
  return low
}
