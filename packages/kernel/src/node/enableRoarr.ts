/**
 * Imported before roarr, which reads `ROARR_LOG` when it is loaded and drops
 * every event for good when the variable is not set by then.
 */
process.env['ROARR_LOG'] = 'true'
