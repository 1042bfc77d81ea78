/** The deployments of today, as the brief gives their sizes. */
import type {DeploymentOptions} from '@irisdock/testkit';

/** A deployment's shape. */
export interface Shape {
  readonly name: string;
  readonly options: DeploymentOptions;
}

const DAEMONS = 8;
const ENGINE_ARGS = ['--engine-step-ms', '20'];

/** Both deployments. */
export const SHAPES: readonly Shape[] = [
  {
    name: 'atlas',
    options: {
      daemons: DAEMONS,
      engines: 20,
      plains: 4,
      failureDomains: ['a', 'b', 'c', 'd'],
      engineArgs: ENGINE_ARGS,
    },
  },
  {
    name: 'press',
    options: {
      daemons: DAEMONS,
      engines: 25,
      plains: 3,
      failureDomains: ['a', 'b', 'c'],
      engineArgs: ENGINE_ARGS,
    },
  },
];
