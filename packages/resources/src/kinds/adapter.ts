/** The kind `adapter`: a small change to a model version's weights. */
import * as z from 'zod';
import {createKind, NAME_SCHEMA} from '../kind.js';

/** The spec of an adapter. */
export const ADAPTER_SCHEMA = z.strictObject({
  modelVersion: NAME_SCHEMA,
  /** The weights' name in the weight store. */
  weights: z.string().min(1).max(500),
});
/** The spec of an adapter. */
export type AdapterSpec = z.infer<typeof ADAPTER_SCHEMA>;

/** The kind `adapter`. */
export const ADAPTER_KIND = createKind({
  name: 'adapter',
  description: "A small change to a model version's weights.",
  schema: ADAPTER_SCHEMA,
  listReferences: (spec) => [
    {kind: 'modelVersion', name: spec.modelVersion, field: 'modelVersion'},
  ],
});
