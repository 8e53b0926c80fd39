/** Stand-in for the platform's object store: objects by kind and name, conditional writes, lists, watches, and a restore from a copy. */
import { createServer } from 'node:http'

const pathPrefix = '/api/objects/'

export class Store {
  /** `none`; `busy` answers 503 and does nothing; `silent` never answers. */
  fault = 'none'
  #objects = new Map()
  #history = []
  #revision = 1
  #era = 1
  #wakers = new Set()
  #server = createServer((request, response) => { void this.#handle(request, response) })

  async start () {
    await new Promise(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
    return this.#server.address().port
  }

  stop () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Ends all connections, as when the store goes away for a moment. */
  dropConnections () {
    this.#server.closeAllConnections()
  }

  /** Writes of the operator and of workers, without a condition. */
  put (kind, name, specification) {
    const before = this.#kind(kind).get(name)
    return this.#commit(kind, name, specification, before?.status ?? null)
  }

  value (kind, name) {
    return this.#kind(kind).get(name)?.specification
  }

  remove (kind, name) {
    const object = this.#kind(kind).get(name)
    if (object === undefined) return
    this.#kind(kind).delete(name)
    this.#revision++
    this.#record(kind, object, true)
  }

  copy () {
    return { revision: this.#revision, objects: new Map([...this.#objects].map(([kind, objects]) => [kind, new Map(objects)])) }
  }

  /** The store comes back from the copy. What `keeps` names is written again by its owners. */
  restore (copy) {
    this.#era++
    this.#revision = copy.revision
    this.#objects = new Map([...copy.objects].map(([kind, objects]) => [kind, new Map(objects)]))
    this.#history = this.#history.filter(entry => entry.revision <= copy.revision)
    this.#wake()
  }

  #kind (kind) {
    if (!this.#objects.has(kind)) this.#objects.set(kind, new Map())
    return this.#objects.get(kind)
  }

  #commit (kind, name, specification, status) {
    const revision = ++this.#revision
    const object = { metadata: { name, revision, created: 0, finalizers: [], deleting: false }, specification, status }
    this.#kind(kind).set(name, object)
    this.#record(kind, object, false)
    return object
  }

  #record (kind, object, removed) {
    this.#history.push({ kind, revision: this.#revision, object, removed })
    this.#wake()
  }

  #wake () {
    for (const wake of [...this.#wakers]) wake()
  }

  async #handle (request, response) {
    let source = ''
    try {
      for await (const chunk of request) source += chunk
    } catch {
      return
    }
    if (this.fault === 'silent') return
    if (this.fault === 'busy') {
      this.#send(response, 503, {})
      return
    }
    const url = new URL(request.url, 'http://store')
    const [kind, name, part] = url.pathname.slice(pathPrefix.length).split('/').map(decodeURIComponent)
    const body = source === '' ? undefined : JSON.parse(source)
    const [status, answer] = request.method === 'GET' ? await this.#get(kind, name, url.searchParams) : this.#write(request.method, kind, name, part, body)
    this.#send(response, status, answer)
  }

  #send (response, status, body) {
    response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': this.#era }).end(JSON.stringify(body))
  }

  async #get (kind, name, query) {
    if (name !== undefined) {
      const object = this.#kind(kind).get(name)
      return object === undefined ? [404, {}] : [200, object]
    }
    const watched = query.get('watch')
    if (watched !== null) return await this.#watch(kind, Number(watched), Number(query.get('wait_ms') ?? 0))
    const items = [...this.#kind(kind).values()].filter(({ metadata }) => metadata.name > (query.get('after') ?? ''))
    return [200, { items, more: false, store_revision: this.#revision }]
  }

  async #watch (kind, revision, waitMs) {
    const era = this.#era
    const found = () => this.#history.filter(entry => entry.kind === kind && entry.revision > revision)
    if (revision > this.#revision) return [410, {}]
    if (found().length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const finish = () => {
          clearTimeout(timer)
          this.#wakers.delete(check)
          resolve()
        }
        const check = () => { if (era !== this.#era || found().length > 0) finish() }
        const timer = setTimeout(finish, waitMs)
        this.#wakers.add(check)
      })
    }
    if (era !== this.#era && revision > this.#revision) return [410, {}]
    return [200, { events: found().map(({ object, removed }) => ({ object, removed })), store_revision: this.#revision }]
  }

  #write (method, kind, name, part, body) {
    if (method === 'POST') {
      const present = this.#kind(kind).get(body.metadata.name)
      return present === undefined ? [200, this.#commit(kind, body.metadata.name, body.specification, null)] : [409, present]
    }
    const present = this.#kind(kind).get(name)
    if (present === undefined) return [404, {}]
    if (method === 'DELETE') {
      this.remove(kind, name)
      return [200, present]
    }
    const expected = body.metadata?.revision
    if (expected !== undefined && expected !== present.metadata.revision) return [409, present]
    return [200, part === 'status' ? this.#commit(kind, name, present.specification, body.status) : this.#commit(kind, name, body.specification, present.status)]
  }
}
