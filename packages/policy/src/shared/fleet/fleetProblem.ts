/** Problems for which a fleet text is refused, with their position in the text. */
import { isMap, isNode, isPair, isScalar, isSeq, type Document, type LineCounter, type Node } from 'yaml'

export interface FleetProblem {
  /** 1-based. */
  readonly line: number
  /** 1-based. */
  readonly column: number
  /** One sentence that names the affected part of the text and states what is wrong with it. */
  readonly reason: string
}

/** Keys and list indexes that lead from the root of the text to a value. */
export type FleetPath = readonly PropertyKey[]

/** Creates a problem at the position of a path in the text. */
export type ProblemLocator = (path: FleetPath, reason: string) => FleetProblem

function childOf (node: Node, key: PropertyKey): Node | undefined {
  const child: unknown = isMap(node) || isSeq(node) ? node.get(typeof key === 'symbol' ? String(key) : key, true) : undefined
  return isNode(child) ? child : undefined
}

function keyNodeOf (node: Node, key: PropertyKey): Node | undefined {
  if (!isMap(node)) return undefined
  const pair = node.items.find(item => isPair(item) && isScalar(item.key) && String(item.key.value) === String(key))
  return isNode(pair?.key) ? pair.key : undefined
}

/** Offset of the deepest existing node on the path. A value without a position, such as an empty one, counts as at its key. */
function offsetOf (root: Node | null, path: FleetPath): number {
  let node = root
  let offset = root?.range?.[0] ?? 0
  for (const key of path) {
    if (node === null) break
    const child = childOf(node, key)
    offset = child?.range?.[0] ?? keyNodeOf(node, key)?.range?.[0] ?? offset
    node = child ?? null
  }
  return offset
}

/** Creates the locator of a parsed document. It reports the position of a key rather than that of its value. */
export function createLocator (document: Document, lines: LineCounter): ProblemLocator {
  return (path, reason) => {
    const last = path.at(-1)
    const parent = document.contents === null ? null : nodeAt(document.contents, path.slice(0, -1))
    const key = parent === null || last === undefined ? undefined : keyNodeOf(parent, last)
    return problemAtOffset(lines, key?.range?.[0] ?? offsetOf(document.contents, path), reason)
  }
}

function nodeAt (root: Node, path: FleetPath): Node | null {
  let node: Node | undefined = root
  for (const key of path) node = node === undefined ? undefined : childOf(node, key)
  return node ?? null
}

/** Creates a problem at a character offset. */
export function problemAtOffset (lines: LineCounter, offset: number, reason: string): FleetProblem {
  const { line, col } = lines.linePos(offset)
  return { line: Math.max(line, 1), column: Math.max(col, 1), reason }
}

/** Formats a path, such as `services.carebot.versions[1]`. */
export function formatPath (path: FleetPath): string {
  return path.map((key, index) => typeof key === 'number' ? `[${key}]` : `${index === 0 ? '' : '.'}${String(key)}`).join('')
}

/** Formats a problem as `line 3, column 5: reason`. */
export function formatProblem (problem: FleetProblem): string {
  return `line ${problem.line}, column ${problem.column}: ${problem.reason}`
}
