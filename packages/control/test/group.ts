import {once} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Address} from '#model';
import {ControlClient} from '#membership';
import {Control, type StartReplica, createReplicaStarter} from '#control';
import {type Disk, nodeDisk} from '#storage';
import {createSettings, runtime, source, TestClient} from './test-control.js';

/** Finds ports that are free at the moment. */
async function reservePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({length: count}, () => createServer());
  for (const server of servers) server.listen(0, '127.0.0.1');
  await Promise.all(servers.map(server => once(server, 'listening')));
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  for (const server of servers) server.close();
  await Promise.all(servers.map(server => once(server, 'close')));
  return ports;
}

/** A group of replicas in this process, on loopback, each with its own data folder. */
export class Group implements AsyncDisposable {
  readonly running = new Map<string, Control>();
  /** Ids of replicas whose messages to and from the others are dropped. */
  readonly isolated = new Set<string>();
  /** Ids of replicas whose disks have no room. */
  readonly full = new Set<string>();
  private readonly clients: TestClient[] = [];

  private constructor(
    private readonly folder: string,
    private readonly addresses: ReadonlyMap<string, Address>,
    private readonly voters: readonly string[],
    private readonly repairs: boolean,
  ) {}

  /** Starts a group of three, which may repair itself; `spareIds` are replicas that may join later. */
  static async start(
    spareIds: readonly string[] = [],
    repairs = false,
  ): Promise<Group> {
    const voters = ['c1', 'c2', 'c3'];
    const ids = [...voters, ...spareIds];
    const ports = await reservePorts(ids.length);
    const addresses = new Map(
      ids.map((id, i) => [id, `127.0.0.1:${ports[i]}`] as const),
    );
    const folder = await mkdtemp(join(tmpdir(), 'control-test-'));
    const group = new Group(folder, addresses, voters, repairs);
    await Promise.all(voters.map(id => group.start(id)));
    return group;
  }

  getAddress(id: string): Address {
    return this.addresses.get(id)!;
  }

  async start(id: string): Promise<void> {
    const members = this.voters.map(member => ({
      member,
      address: this.getAddress(member),
    }));
    const basic = createSettings(id, {
      listen: this.getAddress(id),
      data: join(this.folder, id),
      members,
      join: !this.voters.includes(id),
      ...(this.repairs && {voters: this.voters.length}),
    });
    const settings = {...basic, controls: members.map(each => each.address)};
    const opened = await Control.open({
      settings,
      configuration: source,
      runtime,
      startReplica: this.filterMessages(
        createReplicaStarter(
          settings,
          runtime.clock,
          undefined,
          this.createDisk(id),
        ),
      ),
    });
    this.running.set(
      id,
      opened
        .ifLeft(detail => {
          throw new Error(detail);
        })
        .unsafeCoerce(),
    );
  }

  async stop(id: string): Promise<void> {
    const control = this.running.get(id);
    this.running.delete(id);
    await control?.[Symbol.asyncDispose]();
  }

  /** Drains a replica, as its process does when asked to stop. */
  async drain(id: string): Promise<void> {
    const control = this.running.get(id);
    this.running.delete(id);
    await control?.drain();
  }

  async deleteData(id: string): Promise<void> {
    await rm(join(this.folder, id), {recursive: true});
  }

  /** Waits until a replica that is not isolated leads; returns its id. */
  async awaitLeader(): Promise<string> {
    const leader = await this.awaitStatus(
      (id, {role}) => role === 'leader' && !this.isolated.has(id),
    );
    return leader;
  }

  /** Waits until the status of some replica is as expected; returns its id. */
  async awaitStatus(
    expect: (
      id: string,
      status: ReturnType<Control['describeStatus']>,
    ) => boolean,
  ): Promise<string> {
    for (;;) {
      for (const [id, control] of this.running) {
        if (expect(id, control.describeStatus())) return id;
      }
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  }

  /** Waits until the leader's members are these voters and learners. */
  async awaitMembers(
    voters: readonly string[],
    learners: readonly string[] = [],
  ): Promise<void> {
    await this.awaitStatus((_, {role, members}) => {
      const list = (isVoter: boolean) =>
        members
          .filter(({voter}) => voter === isVoter)
          .map(({member}) => member)
          .join();
      const isAsExpected =
        list(true) === voters.join() && list(false) === learners.join();
      return role === 'leader' && isAsExpected;
    });
  }

  /** Connects a client to the given replicas, by default to all of the first members. */
  connect(...ids: readonly string[]): TestClient {
    const chosen = ids.length > 0 ? ids : this.voters;
    const controls = chosen.map(id => this.getAddress(id));
    const client = new TestClient(new ControlClient({controls}));
    this.clients.push(client);
    return client;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const client of this.clients) await client[Symbol.asyncDispose]();
    for (const id of [...this.running.keys()]) await this.stop(id);
    await rm(this.folder, {recursive: true});
  }

  /** The file system, where writes find no room while the replica's disk is full. */
  private createDisk(id: string): Disk {
    const checkRoom = () => {
      if (!this.full.has(id)) return;
      throw Object.assign(new Error('ENOSPC'), {code: 'ENOSPC'});
    };
    return {
      ...nodeDisk,
      open: async file => {
        const opened = await nodeDisk.open(file);
        return {
          ...opened,
          write: async (data, position) => {
            checkRoom();
            return opened.write(data, position);
          },
        };
      },
    };
  }

  private filterMessages(start: StartReplica): StartReplica {
    return async environment => {
      const {id, send} = environment;
      const isDelivered = (other: string) =>
        !this.isolated.has(id) && !this.isolated.has(other);
      const started = await start({
        ...environment,
        send: (to, address, message) => {
          if (isDelivered(to)) send(to, address, message);
        },
      });
      return started.map(replica => {
        const receive = replica.receive.bind(replica);
        replica.receive = (from, message) => {
          if (isDelivered(from)) receive(from, message);
        };
        return replica;
      });
    };
  }
}
