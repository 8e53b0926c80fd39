/** The endpoint process: the gate in front of one back end. */
export { endpointSettings, type EndpointSettings } from './shared/endpointSettings.ts'
export { createEndpointPlugins, startEndpoint, type Endpoint, type EndpointOptions, type EndpointPluginOptions } from './node/endpointPlugins.ts'
