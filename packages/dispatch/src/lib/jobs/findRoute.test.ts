import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { RoutingTableSchema } from '@cherryhitch/protocol'
import { findRoute } from './findRoute'

/** The name and the rest of the path that a table with one route gives for a request. */
function find(route: { host: string; pathPrefix: string }, host: string, path: string) {
  const routes = [{ name: 'r', service: 's', ...route }]
  const table = create(RoutingTableSchema, { version: 1, routes, services: ['s'] })
  return findRoute(table, host, path)?.rest
}

describe('a route', () => {
  const hosts: readonly (readonly [configured: string, sent: string])[] = [
    ['a.example', 'A.Example'],
    ['A.example', 'a.example'],
    ['a.example', 'a.example.'],
    ['a.example', 'a.example:8080'],
    ['[::1]', '[::1]:8080'],
    ['[2001:DB8::1]', '[2001:db8::1]'],
  ]
  for (const [host, sent] of hosts) {
    it(`of the host ${host} is found by a request to ${sent}`, () => {
      assert.equal(find({ host, pathPrefix: '/p/' }, sent, '/p/j'), 'j')
    })
  }

  const prefixes: readonly (readonly [configured: string, decodedPath: string])[] = [
    ['/caf%C3%A9/', '/café/j'],
    ['/café/', '/café/j'],
    ['/%61/', '/a/j'],
    ['/my queue/', '/my queue/j'],
    ['/100%/', '/100%/j'],
    ['/%zz/', '/%zz/j'],
  ]
  for (const [pathPrefix, path] of prefixes) {
    it(`with the prefix ${pathPrefix} is found by the path ${path}`, () => {
      assert.equal(find({ host: 'h', pathPrefix }, 'h', path), 'j')
    })
  }

  it('is not found by a request to another host, or to a part of its host', () => {
    for (const sent of ['b.example', 'example', 'a.example.b', ''])
      assert.equal(find({ host: 'a.example', pathPrefix: '/p/' }, sent, '/p/j'), undefined)
  })
})
