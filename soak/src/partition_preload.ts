/**
 * Loaded into the process of a host before its program: partitions the host
 * from the endpoints when the soak sends a command. Connections to the store,
 * to other hosts and from callers are left alone. Tells the soak when the
 * program takes SIGHUP.
 */
import {Socket, type TcpNetConnectOpts} from 'node:net';
import {
  dropTraffic,
  type PartitionMode,
} from '@irisdock/users-platform/fixtures';

/** What the soak sends. */
export interface PartitionCommand {
  /** Undefined ends the partition. */
  readonly mode?: PartitionMode;
  /** Ports that do not belong to endpoints. */
  readonly otherPorts: readonly number[];
}

/** A port at which nothing listens. */
const CLOSED_PORT = 1;

let command: PartitionCommand = {otherPorts: []};
const sockets = new Map<Socket, number>();
// The method is called with its socket below.
// eslint-disable-next-line @typescript-eslint/unbound-method
const {connect} = Socket.prototype;

function isEndpoint(port: number): boolean {
  return !command.otherPorts.includes(port);
}

/** Finds the options in the arguments that Node passes on internally. */
function findOptions(args: readonly unknown[]): TcpNetConnectOpts | undefined {
  const [first] = args;
  const options: unknown = Array.isArray(first) ? first[0] : first;
  const isTcp =
    typeof options === 'object' && options !== null && 'port' in options;
  return isTcp ? (options as TcpNetConnectOpts) : undefined;
}

function applyPartition(options: TcpNetConnectOpts): void {
  if (command.mode === 'silent') {
    options.host = 'silent.invalid';
    options.lookup = () => undefined;
  } else {
    options.port = CLOSED_PORT;
  }
}

Object.defineProperty(Socket.prototype, 'connect', {
  value(this: Socket, ...args: unknown[]): Socket {
    const options = findOptions(args);
    const port = Number(options?.port);
    if (options !== undefined && isEndpoint(port)) {
      if (command.mode !== undefined) applyPartition(options);
      sockets.set(this, port);
      this.once('close', () => sockets.delete(this));
    }
    return Reflect.apply(connect, this, args) as Socket;
  },
});

process.on('message', (message: PartitionCommand) => {
  command = message;
  for (const [socket, port] of sockets) {
    if (!isEndpoint(port)) continue;
    if (command.mode === 'reset') socket.resetAndDestroy();
    if (command.mode === 'silent') dropTraffic(socket);
  }
});
// Node itself takes no SIGHUP while it starts: the signal would end the process.
process.on('newListener', (name) => {
  if (name === 'SIGHUP') process.send?.('takes SIGHUP');
});
// The channel must not keep the process alive.
process.channel?.unref();
