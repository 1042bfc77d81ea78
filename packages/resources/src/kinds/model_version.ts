/** The kind `modelVersion`: one version of a model's weights. */
import * as z from 'zod';
import {createKind} from '../kind.js';

/** The spec of a model version. */
export const MODEL_VERSION_SCHEMA = z.strictObject({
  model: z.string().min(1).max(200),
  version: z.string().min(1).max(100),
  /** The weights' name in the weight store. */
  weights: z.string().min(1).max(500),
  /** How many endpoints of each service should have it loaded; 0 is all. */
  replicas: z.number().int().min(0).max(100_000).default(0),
});
/** The spec of a model version. */
export type ModelVersionSpec = z.infer<typeof MODEL_VERSION_SCHEMA>;

/** The kind `modelVersion`. */
export const MODEL_VERSION_KIND = createKind({
  name: 'modelVersion',
  description: "One version of a model's weights.",
  schema: MODEL_VERSION_SCHEMA,
  listReferences: () => [],
});
