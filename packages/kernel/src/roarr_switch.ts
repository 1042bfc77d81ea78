/**
 * Roarr writes nothing unless this variable is set when it is loaded, so this
 * module is imported before it. Whether a line is written is decided by the
 * logger's level alone.
 */
process.env['ROARR_LOG'] = 'true';
