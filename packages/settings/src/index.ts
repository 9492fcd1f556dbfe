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
