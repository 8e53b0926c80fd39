/** Reasons for which a fleet text is refused, with their place in the text. */
import { isMap, isNode, isPair, isScalar, isSeq, type Document, type LineCounter, type Node } from 'yaml'

export interface FleetProblem {
  /** Counted from 1. */
  readonly line: number
  /** Counted from 1. */
  readonly column: number
  /** One sentence that names the part of the text and what is wrong with it. */
  readonly reason: string
}

/** Path of keys and list indexes from the top of the text. */
export type FleetPath = readonly PropertyKey[]

/** Turns a path into a place in the text. */
export type Locate = (path: FleetPath, reason: string) => FleetProblem

function childOf (node: Node, key: PropertyKey): Node | undefined {
  const child: unknown = isMap(node) || isSeq(node) ? node.get(typeof key === 'symbol' ? String(key) : key, true) : undefined
  return isNode(child) ? child : undefined
}

function keyNodeOf (node: Node, key: PropertyKey): Node | undefined {
  if (!isMap(node)) return undefined
  const pair = node.items.find(item => isPair(item) && isScalar(item.key) && String(item.key.value) === String(key))
  return isNode(pair?.key) ? pair.key : undefined
}

/** Start of the deepest node on the path that exists; of a key where its value has no place, for example when it is empty. */
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

/** Creates the locator of a parsed document. */
export function locatorOf (document: Document, lines: LineCounter): Locate {
  return (path, reason) => {
    const last = path.at(-1)
    const parent = document.contents === null ? null : nodeAt(document.contents, path.slice(0, -1))
    const key = parent === null || last === undefined ? undefined : keyNodeOf(parent, last)
    return at(lines, key?.range?.[0] ?? offsetOf(document.contents, path), reason)
  }
}

function nodeAt (root: Node, path: FleetPath): Node | null {
  let node: Node | undefined = root
  for (const key of path) node = node === undefined ? undefined : childOf(node, key)
  return node ?? null
}

/** Problem at a character offset. */
export function at (lines: LineCounter, offset: number, reason: string): FleetProblem {
  const { line, col } = lines.linePos(offset)
  return { line: Math.max(line, 1), column: Math.max(col, 1), reason }
}

/** `services.carebot.versions[1]` */
export function pathText (path: FleetPath): string {
  return path.map((key, index) => typeof key === 'number' ? `[${key}]` : `${index === 0 ? '' : '.'}${String(key)}`).join('')
}

/** `line 3, column 5: reason` */
export function formatProblem (problem: FleetProblem): string {
  return `line ${problem.line}, column ${problem.column}: ${problem.reason}`
}
