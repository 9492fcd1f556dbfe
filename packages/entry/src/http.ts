import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import polka from 'polka';
import {type Either, Left, Right} from 'purify-ts';
import {
  type Address,
  deriveJobId,
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

const maxHeaderBytes = 16 * 1024;
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;

/** The HTTP interface for callers, health probes and load balancers. */
export class HttpServer implements AsyncDisposable {
  private constructor(
    private readonly server: Server,
    /** The listening address, with the port that the system chose for port 0. */
    readonly address: Address,
  ) {}

  /** Starts to listen; `Left` holds the error message. */
  static listen(
    address: Address,
    owner: HttpOwner,
  ): Promise<Either<string, HttpServer>> {
    return parseAddress(address).caseOf<Promise<Either<string, HttpServer>>>({
      Left: async detail => Left(detail),
      Right: ({host, port}) =>
        new Promise(resolve => {
          const server = createServer({
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: headersTimeoutMs,
            requestTimeout: requestTimeoutMs,
          });
          addRoutes(server, owner);
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

function addRoutes(server: Server, owner: HttpOwner): void {
  const serve =
    (handler: RouteHandler) =>
    (req: IncomingMessage, res: ServerResponse): void => {
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
    .post('/v1/services/:service/jobs', serve(submitJob))
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
  server.on('request', (req, res) =>
    router.handler(req as polka.Request, res, undefined),
  );
}

const submitJob: RouteHandler = async (req, owner) => {
  const limits = owner.getLimits();
  const body = await readBody(req, limits.maxBodyBytes);
  const request = body.chain(bytes =>
    checkRequest(
      {
        service: req.params.service!,
        team: getHeader(req, 'wasabiring-team'),
        key: getHeader(req, 'idempotency-key'),
        body: bytes,
      },
      limits,
    ),
  );
  return request.caseOf<Promise<HttpAnswer>>({
    Left: async bad => refuse(bad),
    Right: async checked => formatAnswer(await owner.submit(checked)),
  });
};

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

/** Reads a body; beyond `maxBytes` the rest is discarded and the request refused. */
async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Either<BadRequest, Buffer>> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req) {
      bytes += (chunk as Buffer).length;
      if (bytes <= maxBytes) chunks.push(chunk as Buffer);
    }
  } catch (error) {
    return Left({
      reason: 'bad-request',
      detail: `the body ended early: ${(error as Error).message}`,
    });
  }
  if (bytes > maxBytes) {
    return Left({
      reason: 'body-too-large',
      detail: `the body is over ${maxBytes} bytes`,
    });
  }
  return Right(Buffer.concat(chunks));
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
  if (answer.retryAfterMs > 0) {
    res.setHeader('Retry-After', Math.ceil(answer.retryAfterMs / 1000));
  }
  if (lastOnConnection) res.setHeader('Connection', 'close');
  res.end(body);
}
