import assert from 'node:assert/strict'
import fs from 'node:fs'
import path from 'node:path'
import { describe, it } from 'node:test'
import { JobState, Reason } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import type { TestRequest } from '../fixtures/clients'
import { send } from '../fixtures/clients'
import { succeeded, unsuccessful } from '../fixtures/FakeServices'
import { openCallerServer, openEndpointServer, openOperatorServer } from '../fixtures/testServers'
import { reasonTable, reasonName } from '../problems/reasonTable'
import { refusals } from '../problems/requestErrorReply'
import { defaultHttpLimits } from '../server/HttpServerOptions'

const docs = path.join(import.meta.dirname, '../../../../../docs')
const read = (file: string): string => fs.readFileSync(path.join(docs, file), 'utf8')
const callersPage = read('callers.md')
const callersApi = read('openapi/callers.yaml')

interface Example extends TestRequest {
  readonly path: string
  readonly body?: string
}

/** Parses the curl commands of a documentation page into requests. */
function readExamples(page: string, server: string): readonly Example[] {
  const blocks = [...page.matchAll(/```sh\n([\s\S]*?)```/g)].map((match) => match[1] ?? '')
  return blocks
    .filter((block) => block.includes(`"${server}`))
    .map((block) => {
      const headers = [...block.matchAll(/-H '([^:']+): ([^']+)'/g)]
      const body = /-d '([^']*)'/.exec(block)?.[1]
      return {
        method: /-X (\w+)/.exec(block)?.[1] ?? 'GET',
        path: block.split(`"${server}`)[1]?.split('"')[0] ?? '',
        headers: Object.fromEntries(headers.map(([, name = '', value = '']) => [name, value])),
        ...(body === undefined ? {} : { body }),
      }
    })
}

/** Parses the paths of an OpenAPI document and the methods of each. */
function readOperations(page: string): ReadonlyMap<string, readonly string[]> {
  const operations = new Map<string, string[]>()
  let current: string[] = []
  for (const line of page.split('components:')[0]?.split('\n') ?? []) {
    const found = /^ {2}(\/\S+):$/.exec(line)?.[1]
    if (found !== undefined) operations.set(found, (current = []))
    const method = /^ {4}(get|put|post|delete):$/.exec(line)?.[1]
    if (method !== undefined) current.push(method.toUpperCase())
    if (method === 'get') current.push('HEAD')
  }
  return operations
}

describe('the documentation for callers', () => {
  for (const reason of Object.values(Reason).filter((value) => typeof value === 'number')) {
    const name = reasonName(reason)
    it(`explains ${name} with its status`, () => {
      const { status } = reasonTable[reason]
      if (reason === Reason.UNSPECIFIED) {
        assert.ok(callersPage.includes(`\`${name}\` with status ${status}`))
      } else {
        assert.match(callersPage, new RegExp(`^\\| \`${name}\` +\\| ${status} +\\| .{20,}`, 'm'))
      }
      assert.match(callersApi, new RegExp(`^ +- ${name}$`, 'm'))
      assert.ok(callersApi.includes(`'${status}': {`))
    })
  }

  for (const { status } of Object.values(refusals)) {
    it(`explains the refusal ${status}`, () => {
      const ofRequests = callersPage.split('### Of requests')[1] ?? ''
      assert.match(ofRequests, new RegExp(`^\\| ${status} +\\|`, 'm'))
    })
  }

  it('states the default limits', () => {
    const { bodyBytes, headerBytes, tasksPerJob, defaultDeadlineMs, maxDeadlineMs } =
      defaultHttpLimits
    for (const limit of [bodyBytes, headerBytes, tasksPerJob, defaultDeadlineMs, maxDeadlineMs]) {
      assert.match(callersPage, new RegExp(`\\b${limit}\\b`))
    }
    const { requestTimeoutMs, idleTimeoutMs, pipelinedRequests, queueWaitMs } = defaultHttpLimits
    assert.ok(callersPage.includes(`longer than ${requestTimeoutMs / 1000} s`))
    assert.ok(callersPage.includes(`closed after ${idleTimeoutMs / 1000} s`))
    assert.ok(callersPage.includes(`longer than ${queueWaitMs / 1000} s for its turn`))
    assert.ok(callersPage.includes(`more than ${pipelinedRequests} unanswered`))
  })

  const examples = readExamples(callersPage, '$ENTRY')
  it('has examples', () => {
    assert.equal(examples.length, 5)
  })
  for (const [i, example] of examples.entries()) {
    it(`has an example ${i + 1} that works: ${example.method ?? ''} ${example.path}`, async (t) => {
      const { server, service } = await openCallerServer(t)
      const later = example.headers?.Prefer !== undefined
      const running = unsuccessful({ state: JobState.RUNNING })
      if (later) service.answer = () => Effect.succeed(running)
      service.known = succeeded(['null'])
      const answer = await send(server.port, example.path, example)
      assert.equal(answer.status, later ? 202 : 200)
    })
  }
})

describe('the documentation for endpoints', () => {
  const page = read('endpoints.md')
  it('has a heartbeat example that is accepted', async (t) => {
    const { server } = await openEndpointServer(t)
    const [example] = readExamples(page, '$INSTANCE')
    assert.ok(example !== undefined)
    assert.equal((await send(server.port, example.path, example)).status, 200)
  })

  it('has an example of every operation in the OpenAPI document', () => {
    const operations = readOperations(read('openapi/endpoints.yaml'))
    const shown = readExamples(page, '$ENDPOINT').map(({ method, path: target, body }) => {
      if (body !== undefined) JSON.parse(body)
      return `${method ?? ''} ${target.replace(/[^/]+\.\d+$/, '{id}')}`
    })
    const published = [...operations].flatMap(([target, methods]) =>
      methods.map((method) => `${method} ${target}`),
    )
    const atInstance = 'POST /v1/endpoints/{id}/heartbeat'
    assert.deepEqual([...shown, atInstance].sort(), published.sort())
  })
})

describe('the OpenAPI documents', () => {
  const servers = [
    { name: 'callers', open: openCallerServer },
    { name: 'operators', open: openOperatorServer },
  ]
  for (const { name, open } of servers) {
    for (const [target, methods] of readOperations(read(`openapi/${name}.yaml`))) {
      it(`list the methods of ${target} for ${name}`, async (t) => {
        const { server } = await open(t)
        const answer = await send(server.port, target.replace(/\{\w+\}/, 'a.b.1'), {
          method: 'OPTIONS',
        })
        assert.equal(answer.headers.get('allow'), [...methods].sort().join(', '))
      })
    }
  }
})
