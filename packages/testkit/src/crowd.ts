/**
 * Crowds of clients that don't behave: each sends bytes on a connection of its
 * own, may read nothing, and keeps the connection open until the crowd leaves.
 */
import {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitPlace} from '@irisdock/kernel';

/** What one client sends: a start, then a piece many times. */
export interface ClientBytes {
  readonly start: string;
  readonly piece: Buffer;
  readonly pieceCount: number;
}

/** A client of a crowd. */
export interface ClientPlan {
  /** The server, as `ip:port`. */
  readonly address: string;
  readonly bytes: ClientBytes;
  /** Whether it reads what the server sends. */
  readonly isReading: boolean;
}

const STEP_MS = 100;
/** A crowd in which nothing moves for so long has done what it can, in ms. */
const STILL_MS = 1000;
/** A crowd whose bytes never end is left after this time, in ms. */
const MAX_PLAY_MS = 20_000;

/** One client. */
class CrowdClient {
  private readonly socket = new Socket();
  private sentPieces = 0;
  private hasLeft = false;

  constructor(private readonly plan: ClientPlan) {}

  /** The bytes that have passed, in both directions. */
  get movedBytes(): number {
    const {bytesRead, bytesWritten, writableLength} = this.socket;
    return bytesRead + bytesWritten - writableLength;
  }

  /** Whether nothing more will be sent. */
  get isDone(): boolean {
    const {sentPieces, plan, socket} = this;
    if (socket.destroyed) return true;
    const isSent = sentPieces === plan.bytes.pieceCount;
    return isSent && socket.writableLength === 0;
  }

  /** Connects and sends; what becomes of the connection is ignored. */
  start(): void {
    const {socket, plan} = this;
    socket.on('error', () => undefined);
    socket.on('drain', () => {
      this.sendPieces();
    });
    socket.once('connect', () => {
      socket.write(plan.bytes.start);
      this.sendPieces();
    });
    if (plan.isReading) socket.resume();
    else socket.pause();
    socket.connect(splitPlace(plan.address));
  }

  /** Closes the connection. */
  close(): void {
    this.hasLeft = true;
    this.socket.destroy();
  }

  private sendPieces(): void {
    const {piece, pieceCount} = this.plan.bytes;
    while (this.sentPieces < pieceCount && !this.hasLeft) {
      if (this.socket.destroyed) return;
      this.sentPieces++;
      if (!this.socket.write(piece)) return;
    }
  }
}

/** Clients that are connected at the same time. */
export class Crowd {
  private readonly clients: CrowdClient[];

  constructor(plans: readonly ClientPlan[]) {
    this.clients = plans.map((plan) => new CrowdClient(plan));
  }

  /** Plays until all is sent or nothing moves; the clients stay connected. */
  async run(): Promise<void> {
    for (const client of this.clients) client.start();
    const endAt = Date.now() + MAX_PLAY_MS;
    let moved = -1;
    let movedAt = Date.now();
    while (Date.now() < endAt) {
      await sleep(STEP_MS);
      const now = this.countBytes();
      if (now !== moved) movedAt = Date.now();
      moved = now;
      if (Date.now() - movedAt >= STILL_MS) return;
      if (this.clients.every((client) => client.isDone)) return;
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const client of this.clients) client.close();
  }

  private countBytes(): number {
    let bytes = 0;
    for (const client of this.clients) bytes += client.movedBytes;
    return bytes;
  }
}

/** Creates as many clients as asked for, all with the same plan. */
export function createClients(count: number, plan: ClientPlan): ClientPlan[] {
  return Array.from({length: count}, () => plan);
}

/** The size of a large chunk, in bytes. */
export const CHUNK_BYTES = 65_536;
const ONE_BYTE_CHUNK = '1\r\nx\r\n';

/** Formats a chunk of a chunked body. */
export function formatChunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
}

/** Sends a chunked body in large chunks; its end is not sent. */
export function createLargeChunks(head: string, bytes: number): ClientBytes {
  const piece = Buffer.from(formatChunk(CHUNK_BYTES));
  return {start: head, piece, pieceCount: Math.floor(bytes / CHUNK_BYTES)};
}

/** Sends a chunked body in chunks of one byte; its end is not sent. */
export function createOneByteChunks(head: string, bytes: number): ClientBytes {
  const chunks = 8192;
  const piece = Buffer.from(ONE_BYTE_CHUNK.repeat(chunks));
  return {start: head, piece, pieceCount: Math.floor(bytes / chunks)};
}

/** Sends a body without chunks. */
export function createPlainBytes(head: string, bytes: number): ClientBytes {
  const piece = Buffer.alloc(CHUNK_BYTES, 'x');
  return {start: head, piece, pieceCount: Math.floor(bytes / CHUNK_BYTES)};
}

/** Sends whole requests one behind the other, without waiting for answers. */
export function createPipeline(request: string, bytes: number): ClientBytes {
  const repeats = Math.max(1, Math.floor(CHUNK_BYTES / request.length));
  const piece = Buffer.from(request.repeat(repeats));
  return {start: '', piece, pieceCount: Math.floor(bytes / piece.length)};
}
