/** What tests need of the stand-ins besides their processes. */
export {checkText, type TextReport} from './engine/text.js';
