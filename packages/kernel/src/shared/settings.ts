/**
 * Settings of a process. Each setting has one definition, from which its flag,
 * its environment variable, its validation and its row in docs/settings.md are
 * derived.
 */
import { Err, Ok, type Result } from 'ts-results-es'

export type Setting =
  | { readonly kind: 'text', readonly summary: string, readonly default?: string, readonly isSecret?: boolean }
  | { readonly kind: 'number', readonly summary: string, readonly unit: string, readonly min: number, readonly max: number, readonly default: number }
  | { readonly kind: 'choice', readonly summary: string, readonly choices: readonly string[], readonly default: string }

export type SettingsSchema = Readonly<Record<string, Setting>>

type ValueOf<Definition extends Setting> = Definition extends { readonly kind: 'number' } ? number : string

/** Resolved settings: numbers for `number`, text for the others. */
export type SettingsOf<Schema extends SettingsSchema> = { readonly [Name in keyof Schema]: ValueOf<Schema[Name]> }

/** Declares the settings of a process. Names are in camel case and end with their unit. */
export function defineSettings<const Schema extends SettingsSchema> (schema: Schema): Schema {
  return schema
}

/** Flag of a setting: `--budget-flush-ms` for `budgetFlushMs`. */
export function flagName (name: string): string {
  return `--${name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`
}

/** Environment variable of a setting: `BUCKTHORNDRIFT_BUDGET_FLUSH_MS` for `budgetFlushMs`. */
export function environmentName (name: string): string {
  return `BUCKTHORNDRIFT_${name.replaceAll(/[A-Z]/g, letter => `_${letter}`).toUpperCase()}`
}

export interface SettingsSources {
  /** Values of the command-line flags, keyed by setting name. */
  readonly flags: Readonly<Record<string, string | undefined>>
  /** Environment variables, keyed by variable name. */
  readonly environment: Readonly<Record<string, string | undefined>>
}

/** Resolves and validates all settings. A flag takes precedence over an environment variable, and a variable over the default. The error lists every problem. */
export function resolveSettings<Schema extends SettingsSchema> (schema: Schema, sources: SettingsSources): Result<SettingsOf<Schema>, readonly string[]> {
  const values: Record<string, string | number> = {}
  const problems: string[] = []
  for (const [name, setting] of Object.entries(schema)) {
    const rawValue = sources.flags[name] ?? sources.environment[environmentName(name)]
    const value = resolveSetting(name, setting, rawValue)
    if (value.isOk()) values[name] = value.value
    else problems.push(value.error)
  }
  return problems.length > 0 ? Err(problems) : Ok(values as SettingsOf<Schema>)
}

function resolveSetting (name: string, setting: Setting, rawValue: string | undefined): Result<string | number, string> {
  const label = `${flagName(name)} (${environmentName(name)})`
  if (rawValue === undefined) {
    return setting.default === undefined ? Err(`${label} is required: ${setting.summary}`) : Ok(setting.default)
  }
  switch (setting.kind) {
    case 'text':
      return rawValue === '' ? Err(`${label} must not be empty`) : Ok(rawValue)
    case 'choice':
      return setting.choices.includes(rawValue) ? Ok(rawValue) : Err(`${label} must be one of ${setting.choices.join(', ')}, not "${rawValue}"`)
    case 'number':
      return resolveNumber(label, setting, rawValue)
  }
}

function resolveNumber (label: string, setting: Extract<Setting, { kind: 'number' }>, rawValue: string): Result<number, string> {
  const value = Number(rawValue)
  const isInRange = rawValue.trim() !== '' && Number.isFinite(value) && value >= setting.min && value <= setting.max
  if (!isInRange) return Err(`${label} must be a number from ${setting.min} to ${setting.max} ${setting.unit}, not "${rawValue}"`)
  return Ok(value)
}
