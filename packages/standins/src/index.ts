/** What tests need of the stand-ins besides their processes. */
export {checkText, type TextReport} from './engine/text.js';
export {listBlocks} from './engine/prefix_cache.js';
