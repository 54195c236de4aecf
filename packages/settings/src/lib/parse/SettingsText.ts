import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from 'jsonc-parser'
import type { Node, ParseError } from 'jsonc-parser'
import type { ContentProblem, SettingPath, SettingsProblem } from '../problems/SettingsProblem'
import { formatPath } from '../problems/SettingsProblem'

/** The parsed text of a settings file, which maps each setting to its line. @internal */
export class SettingsText {
  private readonly errors: ParseError[] = []
  private readonly root: Node | undefined

  constructor(
    private readonly text: string,
    private readonly file: string,
  ) {
    this.root = parseTree(text, this.errors, { allowTrailingComma: true })
  }

  /** The parsed value; of a duplicate setting, the last one. */
  get value(): unknown {
    return this.root === undefined ? undefined : (getNodeValue(this.root) as unknown)
  }

  /** Places where the text is not valid JSON with comments. */
  syntaxProblems(): readonly SettingsProblem[] {
    return this.errors.map(({ error, offset }) => ({
      file: this.file,
      line: this.lineOf(offset),
      setting: '',
      found: `a syntax error (${printParseErrorCode(error)})`,
      allowed: 'JSON with comments',
    }))
  }

  /** Settings that occur twice in one group, which the parser accepts silently. */
  duplicateProblems(): readonly SettingsProblem[] {
    return this.root === undefined ? [] : this.findDuplicates(this.root, [])
  }

  /** Adds the location to a problem: that of the setting, or of the nearest enclosing group. */
  locate({ path, found, allowed }: ContentProblem): SettingsProblem {
    const setting = formatPath(path)
    return { file: this.file, line: this.lineOf(this.offsetOf(path)), setting, found, allowed }
  }

  private findDuplicates(node: Node, path: SettingPath): SettingsProblem[] {
    const seen = new Set<string>()
    return (node.children ?? []).flatMap((child, index) => {
      if (node.type !== 'object') return this.findDuplicates(child, [...path, index])
      const [key, value] = child.children ?? []
      const name = String(key?.value)
      const nested = value === undefined ? [] : this.findDuplicates(value, [...path, name])
      if (!seen.has(name)) {
        seen.add(name)
        return nested
      }
      const setting = formatPath([...path, name])
      const line = this.lineOf(child.offset)
      return [
        { file: this.file, line, setting, found: 'it a second time', allowed: 'one' },
        ...nested,
      ]
    })
  }

  private offsetOf(path: SettingPath): number {
    for (let length = path.length; length >= 0; length--) {
      if (this.root === undefined) return 0
      const node = findNodeAtLocation(this.root, path.slice(0, length))
      // Use the line of the setting's name, since its value may start on a later line.
      if (node !== undefined)
        return node.parent?.type === 'property' ? node.parent.offset : node.offset
    }
    return 0
  }

  private lineOf(offset: number): number {
    return this.text.slice(0, offset).split('\n').length
  }
}
