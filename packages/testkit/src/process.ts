/** Child processes of a test: started, signalled by id, and always ended. */
import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import * as z from 'zod';

/** The programs that tests start, by the package path of each. */
export const PROGRAMS = {
  irisdockd: resolveProgram('../../../daemon/bin/irisdockd.js'),
  irisdock: resolveProgram('../../../cli/bin/irisdock.js'),
  engine: resolveProgram('../../../standins/dist/src/engine/main.js'),
  plain: resolveProgram('../../../standins/dist/src/plain/main.js'),
  platform: resolveProgram('../../../standins/dist/src/platform/main.js'),
};
/** A program's name. */
export type ProgramName = keyof typeof PROGRAMS;

/** The first line that a started program prints. */
const READY_SCHEMA = z.object({ready: z.literal(true), place: z.unknown()});

/** How a process ended. */
export interface ExitState {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const START_MS = 15_000;
const RUNNING = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of RUNNING) child.kill('SIGKILL');
});
// A test that runs out of time is ended by a signal, which skips 'exit'.
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    process.exit(1);
  });
}

/** A process that runs until it is stopped. */
export class RunningProcess {
  readonly exited: Promise<ExitState>;
  private errorText = '';

  constructor(
    readonly name: string,
    private readonly child: ChildProcess,
  ) {
    RUNNING.add(child);
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        RUNNING.delete(child);
        resolve({code, signal});
      });
    });
    child.stderr?.on('data', (part: Buffer) => {
      this.errorText += part.toString('utf8');
    });
  }

  /** The process id. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether it has ended. */
  get isExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** What it wrote to standard error so far. */
  get log(): string {
    return this.errorText;
  }

  /** Sends a signal. */
  sendSignal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Ends it at once. */
  async kill(): Promise<void> {
    if (!this.isExited) this.child.kill('SIGKILL');
    await this.exited;
  }
}

/** Starts a program and waits for its ready line. */
export async function startProcess<S extends z.ZodType>(
  name: ProgramName,
  args: readonly string[],
  schema: S,
  env: Readonly<Record<string, string>> = {},
): Promise<{process: RunningProcess; place: z.infer<S>}> {
  const child = spawn(process.execPath, [PROGRAMS[name], ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, ...env},
  });
  const running = new RunningProcess(name, child);
  const lines = createInterface({input: child.stdout});
  const line = await Promise.race([
    new Promise<string>((resolve) => {
      lines.once('line', resolve);
    }),
    running.exited.then(() => ''),
    new Promise<string>((resolve) => {
      setTimeout(resolve, START_MS, '').unref();
    }),
  ]);
  if (line === '') {
    await running.kill();
    throw new Error(`${name} did not start: ${running.log}`);
  }
  const ready = READY_SCHEMA.parse(JSON.parse(line));
  return {process: running, place: schema.parse(ready.place)};
}

/** Runs a program to its end. */
export async function runProcess(
  name: ProgramName,
  args: readonly string[],
  input = '',
): Promise<{code: number; stdout: string; stderr: string}> {
  const child = spawn(process.execPath, [PROGRAMS[name], ...args], {
    stdio: ['pipe', 'pipe', 'pipe'],
  });
  RUNNING.add(child);
  let stdout = '';
  let stderr = '';
  child.stdout.on('data', (part: Buffer) => {
    stdout += part.toString('utf8');
  });
  child.stderr.on('data', (part: Buffer) => {
    stderr += part.toString('utf8');
  });
  child.stdin.end(input);
  const code = await new Promise<number>((resolve) => {
    child.once('close', (exit) => {
      RUNNING.delete(child);
      resolve(exit ?? -1);
    });
  });
  return {code, stdout, stderr};
}

function resolveProgram(path: string): string {
  return fileURLToPath(new URL(path, import.meta.url));
}
