import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { Node, ParseError } from 'jsonc-parser'
import type { ContentProblem, SettingPath, SettingsProblem } from '../problems/SettingsProblem'
import { formatPath } from '../problems/SettingsProblem'

/** The text of a settings file, parsed, which knows on what line a setting stands. @internal */
export class SettingsText {
  private readonly errors: ParseError[] = []
  private readonly root: Node | undefined

  constructor(
    private readonly text: string,
    private readonly file: string,
  ) {
    this.root = parseTree(text, this.errors, { allowTrailingComma: true })
  }

  /** What the file says; of a setting that stands twice, the last one. */
  get value(): unknown {
    return this.root === undefined ? undefined : (getNodeValue(this.root) as unknown)
  }

  /** Where the text is not JSON with comments. */
  syntaxProblems(): readonly SettingsProblem[] {
    return this.errors.map(({ error, offset }) => ({
      file: this.file,
      line: this.lineOf(offset),
      setting: '',
      found: `a syntax error (${printParseErrorCode(error)})`,
      allowed: 'JSON with comments',
    }))
  }

  /** Settings that stand twice in one group; the parser takes that without a word. */
  duplicateProblems(): readonly SettingsProblem[] {
    return this.root === undefined ? [] : this.duplicatesBelow(this.root, [])
  }

  /** Says where a problem stands: at the setting, or at the nearest group around it. */
  place({ path, found, allowed }: ContentProblem): SettingsProblem {
    const setting = formatPath(path)
    return { file: this.file, line: this.lineOf(this.offsetOf(path)), setting, found, allowed }
  }

  private duplicatesBelow(node: Node, path: SettingPath): SettingsProblem[] {
    const seen = new Set<string>()
    return (node.children ?? []).flatMap((child, index) => {
      if (node.type !== 'object') return this.duplicatesBelow(child, [...path, index])
      const [key, value] = child.children ?? []
      const name = String(key?.value)
      const below = value === undefined ? [] : this.duplicatesBelow(value, [...path, name])
      if (!seen.has(name)) {
        seen.add(name)
        return below
      }
      const setting = formatPath([...path, name])
      const line = this.lineOf(child.offset)
      return [
        { file: this.file, line, setting, found: 'it a second time', allowed: 'one' },
        ...below,
      ]
    })
  }

  private offsetOf(path: SettingPath): number {
    for (let length = path.length; length >= 0; length--) {
      if (this.root === undefined) return 0
      const node = findNodeAtLocation(this.root, path.slice(0, length))
      // Of a setting the line of its name; the value may start further down.
      if (node !== undefined)
        return node.parent?.type === 'property' ? node.parent.offset : node.offset
    }
    return 0
  }

  private lineOf(offset: number): number {
    return this.text.slice(0, offset).split('\n').length
  }
}
