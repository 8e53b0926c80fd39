/** The endpoint process: a proxy that admits, runs and meters the requests of one back end. */
export { endpointSettings, type EndpointSettings } from './shared/endpointSettings.ts'
export { createEndpointPlugins, startEndpoint, type Endpoint, type EndpointOptions, type EndpointPluginOptions } from './node/endpointPlugins.ts'
