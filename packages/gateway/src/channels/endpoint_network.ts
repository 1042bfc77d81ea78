/** Opens TCP connections to endpoints. */
import {connect, type Socket} from 'node:net';

/** Where a connection leads. */
export interface ConnectOptions {
  readonly host: string;
  readonly port: number;
}

/** The network between this host and the endpoints. */
export interface EndpointNetwork {
  /** Starts to open a connection. */
  open(options: ConnectOptions): Socket;
}

/** The network of the machine. */
export class TcpEndpointNetwork implements EndpointNetwork {
  open({host, port}: ConnectOptions): Socket {
    return connect({host, port, noDelay: true});
  }
}
