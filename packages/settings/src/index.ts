export type {
  AgentRole,
  ControlMember,
  ControlRole,
  EntryRole,
  LeaseSettings,
  MetricsSettings,
  ProcessSettings,
  Role,
} from './process.js';

export type {IntakeSettings} from './intake.js';
export {defaultIntake} from './intake.js';

export type {SettingsError} from './error.js';
export {describeSettingsError} from './error.js';

export type {
  LoadedSettings,
  RoleOf,
  SettingsFiles,
  SettingsTexts,
} from './load.js';
export {loadProcessSettings, loadRole, parseProcessSettings} from './load.js';

export type {KeyDescription} from './keys.js';
export {describeSettingsKeys} from './keys.js';

export {
  checkConfigurationSource,
  extractConfigurationSource,
  parseConfiguration,
} from './configuration.js';
export {diffConfiguration, listConfigurationKeys} from './diff.js';
export type {SourceText} from './document.js';
export {readText} from './document.js';
export {renderValue} from './value.js';
export type {RepeatedKey} from './repeated-keys.js';
export {findRepeatedKeys} from './repeated-keys.js';
export {isTableName} from './value-types.js';
