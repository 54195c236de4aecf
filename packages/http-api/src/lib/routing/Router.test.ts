import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Effect } from 'effect'
import { jsonReply } from '../exchange/Reply'
import { Method, Router } from './Router'

const handle = () => Effect.succeed(jsonReply(200, {}))
const router = new Router([
  { method: Method.Post, path: 'v1/jobs', takesBody: true, handle },
  { method: Method.Get, path: 'v1/jobs/{id}', takesBody: false, handle },
  { method: Method.Delete, path: 'v1/jobs/{id}', takesBody: false, handle },
])

describe('Router', () => {
  const found: readonly (readonly [string, string, string])[] = [
    ['POST', '/v1/jobs', ''],
    ['GET', '/v1/jobs/a.b.1', 'a.b.1'],
    ['HEAD', '/v1/jobs/a', 'a'],
    ['DELETE', '/v1/jobs/%61%2Fb', 'a/b'],
  ]
  for (const [method, path, id] of found) {
    it(`finds ${method} ${path}`, () => {
      assert.equal(router.find(method, path).unwrap().params.id ?? '', id)
    })
  }

  it('passes the rest of a path after its fixed prefix as one parameter', () => {
    const open = new Router([{ method: Method.Get, path: 'a/{rest...}', takesBody: false, handle }])
    assert.equal(open.find('GET', '/a/b/c').unwrap().params.rest, 'b/c')
    assert.equal(open.find('GET', '/a/').unwrap().params.rest, '')
    assert.ok(open.find('GET', '/b/c').err)
  })

  it("passes targets that it can't decode to a route that takes any", () => {
    const open = new Router([
      { method: Method.Get, path: '', takesAnyTarget: true, takesBody: false, handle },
    ])
    for (const target of ['/%', 'http://h/a', '*', '/a']) assert.ok(open.find('GET', target).ok)
    assert.equal(open.find('PUT', '/%').err, true)
  })

  const missed: readonly (readonly [string, string, string])[] = [
    ['GET', '/', ''],
    ['GET', '', ''],
    ['GET', '/v1/jobs/', ''],
    ['GET', '/v1/jobs/a/b', ''],
    ['GET', '/v1//jobs', ''],
    ['GET', '/v1/jobs/%', ''],
    ['GET', '/v1/jobs', 'POST'],
    ['post', '/v1/jobs', 'POST'],
    ['PUT', '/v1/jobs/a', 'DELETE, GET, HEAD'],
  ]
  for (const [method, path, allow] of missed) {
    it(`refuses ${method} ${path}${allow === '' ? '' : `, allowing ${allow}`}`, () => {
      const result = router.find(method, path)
      assert.ok(result.err)
      assert.equal(result.val.headers.Allow ?? '', allow)
    })
  }
})
