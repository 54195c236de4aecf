/** Returns the index and key of each item whose key occurred in an earlier item. @internal */
export function findRepeats<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): readonly { readonly index: number; readonly key: string }[] {
  const seen = new Set<string>()
  return items.flatMap((item, index) => {
    const key = keyOf(item)
    if (seen.has(key)) return [{ index, key }]
    seen.add(key)
    return []
  })
}
