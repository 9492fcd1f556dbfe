import type {Socket} from 'node:net';
import {type Clock, type Instant, monotonicClock} from '#model';
import type {IntakeSettings} from '#settings';
import {
  chooseConnectionToClose,
  type ConnectionState,
  listUnreadToClose,
} from './cut.js';
import type {RefusalCause} from './intake.js';

/** A place where a process accepts connections. */
export interface Door {
  /** For metrics and logs. */
  readonly name: string;
  /** Connections at this door, at most; the process's limit holds too. */
  readonly maxConnections?: number;
  /** Open requests on one connection, at most; the process's limit holds too. */
  readonly maxPipelinedRequests?: number;
}

interface OpenConnection {
  readonly door: Door;
  readonly address: string;
  readonly describe: () => ConnectionState;
}

/** The connections that a process has accepted at all its doors. */
export class ConnectionTable {
  private readonly open = new Map<Socket, OpenConnection>();
  private readonly countsByAddress = new Map<string, number>();
  private readonly countsByDoor = new Map<Door, number>();

  constructor(
    private readonly settings: IntakeSettings,
    private readonly onRefused: (door: Door, cause: RefusalCause) => void,
    private readonly clock: Clock = monotonicClock,
  ) {}

  get size(): number {
    return this.open.size;
  }

  /** Adds a connection, and closes another one or this one if there are too many. False when it was closed. */
  admit(socket: Socket, door: Door, describe: () => ConnectionState): boolean {
    const {maxConnections, maxConnectionsPerAddress} = this.settings;
    const address = socket.remoteAddress ?? '';
    this.add(socket, {door, address, describe});
    const doorLimit = door.maxConnections ?? maxConnections;
    if ((this.countsByDoor.get(door) ?? 0) > doorLimit) {
      this.closeOne(socket, each => each.door === door);
    }
    if (
      !socket.destroyed &&
      (this.countsByAddress.get(address) ?? 0) > maxConnectionsPerAddress
    ) {
      this.closeOne(socket, each => each.address === address);
    }
    if (!socket.destroyed && this.open.size > maxConnections) {
      this.closeOne(socket, () => true);
    }
    return !socket.destroyed;
  }

  /** Closes the connection of those selected that makes room for a new one, or the new one itself. */
  private closeOne(
    newest: Socket,
    isSelected: (connection: OpenConnection) => boolean,
  ): void {
    const states: (readonly [Socket, ConnectionState])[] = [];
    for (const [socket, connection] of this.open) {
      if (socket === newest || !isSelected(connection)) continue;
      states.push([socket, connection.describe()]);
    }
    const now = this.clock.now();
    const chosen = chooseConnectionToClose(states, now) ?? newest;
    this.close(chosen, 'connections');
  }

  /** Closes connections whose answers are not read, for too long or too many. */
  closeUnread(now: Instant): void {
    const {maxBodyMs, maxHeldBytes} = this.settings;
    const slow = [...this.open]
      .map(([socket, connection]) => ({
        socket,
        ...connection.describe(),
        bytes: socket.writableLength,
      }))
      .filter(({stage, bytes}) => stage === 'slow' && bytes > 0);
    for (const {socket} of listUnreadToClose(
      slow,
      now - maxBodyMs,
      maxHeldBytes,
    )) {
      this.close(socket, 'unread');
    }
  }

  private close(socket: Socket, cause: RefusalCause): void {
    const {door} = this.open.get(socket)!;
    this.remove(socket);
    socket.destroy();
    this.onRefused(door, cause);
  }

  private add(socket: Socket, connection: OpenConnection): void {
    this.open.set(socket, connection);
    adjustCount(this.countsByAddress, connection.address, 1);
    adjustCount(this.countsByDoor, connection.door, 1);
    socket.once('close', () => this.remove(socket));
  }

  private remove(socket: Socket): void {
    const connection = this.open.get(socket);
    if (connection === undefined) return;
    this.open.delete(socket);
    adjustCount(this.countsByAddress, connection.address, -1);
    adjustCount(this.countsByDoor, connection.door, -1);
  }
}

function adjustCount<Key>(
  counts: Map<Key, number>,
  key: Key,
  change: number,
): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}

/** Tracks what an HTTP connection is doing. */
export class HttpConnection {
  /** Requests without a complete answer. */
  open = 0;
  private state: ConnectionState;

  constructor(private readonly clock: Clock = monotonicClock) {
    this.state = {stage: 'silent', since: clock.now()};
  }

  enter(stage: ConnectionState['stage']): void {
    this.state = {stage, since: this.clock.now()};
  }

  describe(): ConnectionState {
    return this.state;
  }
}
