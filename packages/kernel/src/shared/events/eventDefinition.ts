/** Definition of a numbered log event. */

export type EventLevel = 'debug' | 'info' | 'warn' | 'error'

export interface EventDefinition {
  /** Unique across all events and never reused. */
  readonly number: number
  readonly level: EventLevel
  readonly message: string
  /** What the operator should do; `none` when no action is needed. */
  readonly action: string
}

export type EventDefinitions = Readonly<Record<string, EventDefinition>>
