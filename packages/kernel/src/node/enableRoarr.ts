/**
 * Enables roarr and must be imported before it. Roarr reads `ROARR_LOG` once,
 * when it is loaded; without the variable it drops every log line.
 */
process.env['ROARR_LOG'] = 'true'
