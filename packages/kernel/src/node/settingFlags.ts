/** Command-line flags generated from a settings schema. */
import { option, optional, string } from 'cmd-ts'
import { flagName, type Setting, type SettingsSchema } from '../shared/settings.ts'

function describeSetting (setting: Setting): string {
  const unit = setting.kind === 'number' && setting.unit !== 'port' ? ` in ${setting.unit}` : ''
  const choices = setting.kind === 'choice' ? `: ${setting.choices.join(', ')}` : ''
  const defaultText = setting.default === undefined ? ' (required)' : setting.default === '' ? '' : ` (default: ${setting.default})`
  return `${setting.summary}${choices}${unit}${defaultText}`
}

function createFlag ([name, setting]: readonly [string, Setting]) {
  return [name, option({ long: flagName(name).slice('--'.length), type: optional(string), description: describeSetting(setting) })] as const
}

/** Creates the arguments of a cmd-ts command. Each value is the text of the flag or `undefined`; `resolveSettings` validates it. */
export function settingFlags (schema: SettingsSchema) {
  return Object.fromEntries(Object.entries(schema).map(createFlag))
}
