import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import {type Either, Left, Right} from 'purify-ts';
import {
  type BodyRefusal,
  type Door,
  HttpDoor,
  Intake,
  type ReceivedBody,
} from '#intake';
import {
  type Address,
  deriveJobId,
  failUnreachable,
  type JobAnswer,
  type JobId,
  type Limits,
  parseAddress,
  type TeamName,
} from '#model';
import type {JobState} from '#protocol';
import {formatAnswer, getRefusalStatus, type HttpAnswer} from './answer.js';
import {
  type BadRequest,
  checkName,
  type CheckedRequest,
  checkRequest,
} from './request.js';

/** What the HTTP interface needs from the entry. */
export interface HttpOwner {
  readonly getLimits: () => Limits;
  readonly submit: (request: CheckedRequest) => Promise<JobAnswer>;
  readonly peek: (team: TeamName, job: JobId) => Promise<JobState>;
  readonly cancel: (team: TeamName, job: JobId) => Promise<JobState>;
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
  readonly getStatus: () => unknown;
}

const callersDoor: Door = {name: 'callers'};
const idleTimeoutMs = 5000;
const overloadRetryMs = 1000;
const msPerSecond = 1000;

/** The HTTP interface for callers, health probes and load balancers. */
export class HttpServer implements AsyncDisposable {
  private constructor(
    private readonly server: HttpDoor['server'],
    /** The listening address, with the port that the system chose for port 0. */
    readonly address: Address,
  ) {}

  /** Starts to listen; `Left` holds the error message. */
  static listen(
    address: Address,
    owner: HttpOwner,
    intake: Intake = new Intake(),
  ): Promise<Either<string, HttpServer>> {
    return parseAddress(address).caseOf<Promise<Either<string, HttpServer>>>({
      Left: async detail => Left(detail),
      Right: ({host, port}) =>
        new Promise(resolve => {
          const door = new HttpDoor({
            intake,
            door: callersDoor,
            keepAliveMs: idleTimeoutMs,
          });
          const {server} = door;
          addRoutes(door, owner);
          server.once('error', error => resolve(Left(error.message)));
          server.listen(port, host, () => {
            const bound = server.address();
            const boundPort =
              bound !== null && typeof bound === 'object' ? bound.port : port;
            resolve(Right(new HttpServer(server, `${host}:${boundPort}`)));
          });
        }),
    });
  }

  /** Stops accepting connections and waits for open requests to finish. */
  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeIdleConnections();
    await closed;
  }
}

type Params = Readonly<Record<string, string>>;
type RouteHandler = (
  req: IncomingMessage & {params: Params},
  owner: HttpOwner,
) => Promise<HttpAnswer>;

function addRoutes(door: HttpDoor, owner: HttpOwner): void {
  const serve =
    (handler: RouteHandler) =>
    (req: IncomingMessage, res: ServerResponse): void => {
      req.resume();
      void handler(req as IncomingMessage & {params: Params}, owner).then(
        answer => send(res, answer, owner.isDraining()),
      );
    };
  const router = polka({
    onError: (_error, _req, res) =>
      send(
        res,
        refuse({reason: 'bad-request', detail: 'malformed URL'}),
        false,
      ),
    onNoMatch: (_req, res) =>
      send(
        res,
        {status: 404, retryAfterMs: 0, body: {status: 'absent'}},
        false,
      ),
  })
    .post('/v1/services/:service/jobs', (req, res) => {
      void submitJob(
        door,
        req as IncomingMessage & {params: Params},
        res,
        owner,
      );
    })
    .get('/v1/jobs/:key', serve(peekJob))
    .delete('/v1/jobs/:key', serve(cancelJob))
    .get(
      '/v1/health/live',
      serve(async () => formatHealth(true)),
    )
    .get(
      '/v1/health/ready',
      serve(async () => formatHealth(owner.isReady())),
    )
    .get(
      '/v1/status',
      serve(async () => ({
        status: 200,
        retryAfterMs: 0,
        body: owner.getStatus(),
      })),
    );
  door.server.on('request', (req, res) => {
    const admission = door.admit(req, res);
    switch (admission.kind) {
      case 'admitted':
        router.handler(req as polka.Request, res, undefined);
        return;
      case 'refused':
        sendRefusal(door, req, res, overloadedRefusal);
        return;
      case 'closed':
        return;
      default:
        failUnreachable(admission);
    }
  });
}

async function submitJob(
  door: HttpDoor,
  req: IncomingMessage & {params: Params},
  res: ServerResponse,
  owner: HttpOwner,
): Promise<void> {
  const limits = owner.getLimits();
  const received = await door.readBody(req, res, limits.maxBodyBytes);
  received
    .ifLeft(cause => refuseBody(door, req, res, cause, limits.maxBodyBytes))
    .ifRight(body => {
      void answerSubmission(req, body, limits, owner).then(answer =>
        send(res, answer, owner.isDraining()),
      );
    });
}

function answerSubmission(
  req: IncomingMessage & {params: Params},
  body: ReceivedBody,
  limits: Limits,
  owner: HttpOwner,
): Promise<HttpAnswer> {
  const request = checkRequest(
    {
      service: req.params.service!,
      team: getHeader(req, 'wasabiring-team'),
      key: getHeader(req, 'idempotency-key'),
      body: body.take(),
    },
    limits,
  );
  return request.caseOf<Promise<HttpAnswer>>({
    Left: async bad => refuse(bad),
    Right: async checked => formatAnswer(await owner.submit(checked)),
  });
}

const peekJob: RouteHandler = (req, owner) => queryJob(req, owner.peek);

const cancelJob: RouteHandler = (req, owner) => queryJob(req, owner.cancel);

async function queryJob(
  req: IncomingMessage & {params: Params},
  query: HttpOwner['peek'],
): Promise<HttpAnswer> {
  const team = checkName('Wasabiring-Team', getHeader(req, 'wasabiring-team'));
  return team.caseOf<Promise<HttpAnswer>>({
    Left: async bad => refuse(bad),
    Right: async name => {
      const key = decodeKey(req.params.key!);
      if (key === undefined) {
        return refuse({reason: 'bad-request', detail: 'malformed URL'});
      }
      return formatState(await query(name, deriveJobId(name, key)));
    },
  });
}

function decodeKey(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

function formatState(state: JobState): HttpAnswer {
  if (state.kind === 'answered') return formatAnswer(state.answer);
  const status = state.kind === 'absent' ? 404 : 200;
  const {kind, ...rest} = state;
  return {status, retryAfterMs: 0, body: {status: kind, ...rest}};
}

function formatHealth(healthy: boolean): HttpAnswer {
  return {
    status: healthy ? 200 : 503,
    retryAfterMs: 0,
    body: {status: healthy ? 'ok' : 'not-ready'},
  };
}

function refuse(bad: BadRequest): HttpAnswer {
  return {
    status: getRefusalStatus(bad.reason),
    retryAfterMs: 0,
    body: {status: 'not-run', ...bad, retryAfterMs: 0},
  };
}

function getHeader(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value.join(',') : value;
}

const overloadedRefusal: HttpAnswer = {
  status: getRefusalStatus('overloaded'),
  retryAfterMs: overloadRetryMs,
  body: {
    status: 'not-run',
    reason: 'overloaded',
    detail: 'clients send more than this process takes in',
    retryAfterMs: overloadRetryMs,
  },
};
const slowStatus = 408;

/** Refuses a request whose body was not read to its end: no job was created. */
function refuseBody(
  door: HttpDoor,
  req: IncomingMessage,
  res: ServerResponse,
  cause: BodyRefusal,
  maxBytes: number,
): void {
  switch (cause) {
    case 'too-large': {
      const detail = `the body is over ${maxBytes} bytes`;
      sendRefusal(door, req, res, refuse({reason: 'body-too-large', detail}));
      return;
    }
    case 'too-slow': {
      const detail = 'the body was sent too slowly';
      const answer = refuse({reason: 'bad-request', detail});
      sendRefusal(door, req, res, {...answer, status: slowStatus});
      return;
    }
    case 'overloaded':
      sendRefusal(door, req, res, overloadedRefusal);
      return;
    case 'disconnected':
      return;
    default:
      failUnreachable(cause);
  }
}

/** Answers a request whose body was not read, and closes its connection. */
function sendRefusal(
  door: HttpDoor,
  req: IncomingMessage,
  res: ServerResponse,
  {status, retryAfterMs, body}: HttpAnswer,
): void {
  const headers = {
    'content-type': 'application/json',
    ...describeRetry(retryAfterMs),
  };
  const text = JSON.stringify(body);
  const lingers = status !== overloadedRefusal.status;
  door.sendFinal(req, res, {status, headers, text, lingers});
}

function describeRetry(retryAfterMs: number): Readonly<Record<string, string>> {
  if (retryAfterMs <= 0) return {};
  return {'retry-after': String(Math.ceil(retryAfterMs / msPerSecond))};
}

function send(
  res: ServerResponse,
  answer: HttpAnswer,
  lastOnConnection: boolean,
): void {
  if (res.destroyed || res.headersSent) return;
  const body = Buffer.from(JSON.stringify(answer.body));
  res.statusCode = answer.status;
  res.setHeader('Content-Type', 'application/json');
  res.setHeader('Content-Length', body.length);
  for (const [name, value] of Object.entries(
    describeRetry(answer.retryAfterMs),
  ))
    res.setHeader(name, value);
  if (lastOnConnection) res.setHeader('Connection', 'close');
  res.end(body);
}
