/** Command-line flags of a settings schema. */
import { option, optional, string } from 'cmd-ts'
import { flagName, type Setting, type SettingsSchema } from '../shared/settings.ts'

function describe (setting: Setting): string {
  const unit = setting.kind === 'number' && setting.unit !== 'port' ? ` in ${setting.unit}` : ''
  const choices = setting.kind === 'choice' ? `: ${setting.choices.join(', ')}` : ''
  const initial = setting.default === undefined ? ' (required)' : setting.default === '' ? '' : ` (default: ${setting.default})`
  return `${setting.summary}${choices}${unit}${initial}`
}

function flagFor ([name, setting]: readonly [string, Setting]) {
  return [name, option({ long: flagName(name).slice('--'.length), type: optional(string), description: describe(setting) })] as const
}

/** Arguments for a cmd-ts command; each is the flag's text or `undefined`, and is checked by `resolveSettings`. */
export function settingFlags (schema: SettingsSchema) {
  return Object.fromEntries(Object.entries(schema).map(flagFor))
}
