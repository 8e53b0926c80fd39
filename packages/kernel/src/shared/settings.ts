/**
 * Settings of a process: one definition per setting gives flag, environment
 * variable, unit, bounds and default, and is the source of docs/settings.md.
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

/** Declares the settings of a process; names are in camel case and carry their unit as a suffix. */
export function defineSettings<const Schema extends SettingsSchema> (schema: Schema): Schema {
  return schema
}

/** `budgetFlushMs` is the flag `--budget-flush-ms`. */
export function flagName (name: string): string {
  return `--${name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`
}

/** `budgetFlushMs` is the variable `BUCKTHORNDRIFT_BUDGET_FLUSH_MS`. */
export function environmentName (name: string): string {
  return `BUCKTHORNDRIFT_${name.replaceAll(/[A-Z]/g, letter => `_${letter}`).toUpperCase()}`
}

export interface SettingsSources {
  /** Values by setting name, as given by flags. */
  readonly flags: Readonly<Record<string, string | undefined>>
  readonly environment: Readonly<Record<string, string | undefined>>
}

/** Checks all settings at once. A flag goes before a variable, a variable before the default. Errors list every problem. */
export function resolveSettings<Schema extends SettingsSchema> (schema: Schema, sources: SettingsSources): Result<SettingsOf<Schema>, readonly string[]> {
  const values: Record<string, string | number> = {}
  const problems: string[] = []
  for (const [name, setting] of Object.entries(schema)) {
    const given = sources.flags[name] ?? sources.environment[environmentName(name)]
    const value = resolveOne(name, setting, given)
    if (value.isOk()) values[name] = value.value
    else problems.push(value.error)
  }
  return problems.length > 0 ? Err(problems) : Ok(values as SettingsOf<Schema>)
}

function resolveOne (name: string, setting: Setting, given: string | undefined): Result<string | number, string> {
  const place = `${flagName(name)} (${environmentName(name)})`
  if (given === undefined) {
    return setting.default === undefined ? Err(`${place} is required: ${setting.summary}`) : Ok(setting.default)
  }
  switch (setting.kind) {
    case 'text':
      return given === '' ? Err(`${place} must not be empty`) : Ok(given)
    case 'choice':
      return setting.choices.includes(given) ? Ok(given) : Err(`${place} must be one of ${setting.choices.join(', ')}, not "${given}"`)
    case 'number':
      return resolveNumber(place, setting, given)
  }
}

function resolveNumber (place: string, setting: Extract<Setting, { kind: 'number' }>, given: string): Result<number, string> {
  const value = Number(given)
  const isInRange = given.trim() !== '' && Number.isFinite(value) && value >= setting.min && value <= setting.max
  if (!isInRange) return Err(`${place} must be a number from ${setting.min} to ${setting.max} ${setting.unit}, not "${given}"`)
  return Ok(value)
}
