import { isValidName } from '@cherryhitch/model'
import type { Command } from '@cherryhitch/protocol'
import { Effect } from 'effect'
import type { Result } from 'ts-results'
import { OPERATOR_HEADER } from '../auth/createAuthenticator'
import { missingName } from '../auth/HeaderAuthenticator'
import type { ApiRequest } from '../exchange/ApiRequest'
import { bodyDecoder } from '../exchange/decodeBody'
import { RequestError, RequestErrorKind } from '../problems/RequestError'
import type { Handler, Route } from '../routing/Router'
import { Method } from '../routing/Router'
import type { HttpLimits } from '../server/HttpServerOptions'
import type { OperatorService } from '../services/OperatorService'
import {
  changeVotersSchema,
  definePresetSchema,
  setPresetSchema,
  setZoneDrainSchema,
} from './changeBodies'
import { commandReply } from './commandReply'
import type { Proposer } from './createCommand'
import {
  createChangeVoters,
  createDefinePreset,
  createSetPreset,
  createSetZoneDrain,
} from './createCommand'
import { Err } from '@cherryhitch/model'

type CommandReader = (req: ApiRequest) => Result<Command, RequestError>

/** Routes by which operators change presets and voters. @internal */
export function changeRoutes(operators: OperatorService, limits: HttpLimits): readonly Route[] {
  const depth = limits.nestingDepth
  const setPreset = bodyDecoder(setPresetSchema, depth)
  const definePreset = bodyDecoder(definePresetSchema, depth)
  const changeVoters = bodyDecoder(changeVotersSchema, depth)
  const setZoneDrain = bodyDecoder(setZoneDrainSchema, depth)
  const propose = proposalHandler(operators)
  return [
    change(
      Method.Put,
      'v1/preset',
      propose((req) => setPreset(req.body).map((body) => createSetPreset(body, proposerOf(req)))),
    ),
    change(
      Method.Put,
      'v1/presets/{name}',
      propose((req) => {
        const name = req.params.name ?? ''
        if (!isValidName(name)) return Err(invalidName('preset'))
        return definePreset(req.body).map((body) => createDefinePreset(name, body, proposerOf(req)))
      }),
    ),
    change(
      Method.Put,
      'v1/zones/{zone}',
      propose((req) => {
        const zone = req.params.zone ?? ''
        if (!isValidName(zone)) return Err(invalidName('zone'))
        return setZoneDrain(req.body).map((body) => createSetZoneDrain(zone, body, proposerOf(req)))
      }),
    ),
    change(
      Method.Post,
      'v1/voters',
      propose((req) =>
        changeVoters(req.body).map((body) => createChangeVoters(body, proposerOf(req))),
      ),
    ),
  ]
}

function change(method: Method, path: string, handle: Handler): Route {
  return { method, path, takesBody: true, handle }
}

function proposalHandler(operators: OperatorService): (read: CommandReader) => Handler {
  return (read) => (req) => {
    if (req.sender === '') return Effect.fail(missingName(OPERATOR_HEADER))
    const command = read(req)
    if (command.err) return Effect.fail(command.val)
    return Effect.map(operators.propose(command.val), commandReply)
  }
}

function proposerOf(req: ApiRequest): Proposer {
  return { operator: req.sender, now: req.now }
}

function invalidName(what: string): RequestError {
  const message = `The ${what} in the path has no valid name (1 to 64 letters, digits, - or _).`
  return new RequestError(RequestErrorKind.Malformed, message)
}
