import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { RoutingStateSchema } from '@cherryhitch/protocol'
import type { PartLog } from '@cherryhitch/telemetry'
import fc from 'fast-check'
import { compressDocument, routingTableOf } from './RoutingDocument'

const RUNS = { numRuns: 300, seed: 66 }
const VERSION = 7
const route = { name: 'r', host: 'a.example', pathPrefix: '/p/', service: 's', timeoutMs: 5 }
const stored = { version: VERSION, routes: [route], services: [{ name: 's' }], limits: {} }

function read(document: string) {
  const errors: string[] = []
  const ignore = (): void => undefined
  const error = (message: string): void => {
    errors.push(message)
  }
  const log: PartLog = { info: ignore, warn: ignore, debug: ignore, error }
  const state = { version: VERSION, document: compressDocument(document) }
  return { table: routingTableOf(create(RoutingStateSchema, state), log), errors }
}

describe('a stored configuration that a new one would be refused for', () => {
  const accepted: readonly (readonly [string, object])[] = [
    ['two routes on one host and prefix', { ...stored, routes: [route, route] }],
    ['a route to an unknown service', { ...stored, services: [] }],
    ['a timeout of 0', { ...stored, routes: [{ ...route, timeoutMs: 0 }] }],
    ['no limits', { ...stored, limits: undefined }],
    ['a service with a field of another type', { ...stored, services: [{ name: 's', tls: 1 }] }],
  ]
  for (const [what, document] of accepted) {
    it(`is in force with its routes: ${what}`, () => {
      const { table, errors } = read(JSON.stringify(document))
      assert.equal(table?.version, VERSION)
      assert.equal(table.routes[0]?.pathPrefix, '/p/')
      assert.deepEqual(errors, [])
    })
  }

  it('is in force without a route that cannot be read, which is logged', () => {
    const routes = [{ ...route, host: 5 }, route]
    const { table, errors } = read(JSON.stringify({ ...stored, routes }))
    assert.equal(table?.routes.length, 1)
    assert.equal(errors.length, 1)
  })

  it('never ends the process, whatever is stored', () => {
    const documents = fc.oneof(
      fc.string(),
      fc.json(),
      fc.jsonValue().map((value) => {
        return JSON.stringify({ ...stored, routes: [value, route], services: value })
      }),
    )
    const property = fc.property(documents, (document) => {
      read(document)
    })
    fc.assert(property, RUNS)
  })

  it('never ends the process if its bytes are damaged', () => {
    const state = { version: VERSION, document: new Uint8Array([255, 255]) }
    const ignore = (): void => undefined
    const log: PartLog = { info: ignore, warn: ignore, debug: ignore, error: ignore }
    assert.equal(routingTableOf(create(RoutingStateSchema, state), log), undefined)
  })
})
