/** Items whose key an earlier item has already, with their index. @internal */
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
