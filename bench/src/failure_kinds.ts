/** The failures whose resume latency is measured. */
import {
  readEndpoint,
  type CallerState,
  type Deployment,
  type EndpointNode,
} from '@irisdock/testkit';

/** A failure that is brought about in an answer. */
export interface FailureKind {
  readonly name: string;
  /** Whether the caller must go on at another host. */
  readonly movesHost?: boolean;
  start(deployment: Deployment, state: CallerState, host: string): void;
}

function getEngine(deployment: Deployment, state: CallerState): EndpointNode {
  return deployment.findEngine(readEndpoint(state));
}

function getHostProcess(
  deployment: Deployment,
  host: string,
): Deployment['daemons'][number]['process'] | undefined {
  return deployment.daemons.find((d) => d.places.caller === host)?.process;
}

/** All failures. */
export const FAILURE_KINDS: readonly FailureKind[] = [
  {name: 'none', start: () => undefined},
  {
    name: 'engine killed',
    start: (deployment, state) => {
      getEngine(deployment, state).process.sendSignal('SIGKILL');
    },
  },
  {
    name: 'engine frozen',
    start: (deployment, state) => {
      getEngine(deployment, state).process.sendSignal('SIGSTOP');
    },
  },
  {
    name: 'stream cut',
    start: (deployment, state) => {
      const engine = getEngine(deployment, state);
      void deployment.setFaults(engine, {cutAfter: 1});
    },
  },
  {
    name: 'token missing',
    start: (deployment, state) => {
      void deployment.setFaults(getEngine(deployment, state), {skip: 1});
    },
  },
  {
    name: 'engine stalled',
    start: (deployment, state) => {
      void deployment.setFaults(getEngine(deployment, state), {stall: true});
    },
  },
  {
    name: 'host killed',
    movesHost: true,
    start: (deployment, _state, host) => {
      getHostProcess(deployment, host)?.sendSignal('SIGKILL');
    },
  },
  {
    name: 'host frozen',
    movesHost: true,
    start: (deployment, _state, host) => {
      getHostProcess(deployment, host)?.sendSignal('SIGSTOP');
    },
  },
  {
    name: 'host and engine killed',
    movesHost: true,
    start: (deployment, state, host) => {
      getEngine(deployment, state).process.sendSignal('SIGKILL');
      getHostProcess(deployment, host)?.sendSignal('SIGKILL');
    },
  },
];
