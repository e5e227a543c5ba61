import { agentSchema } from '@guavaspindle/agent/settings';
import { dispatcherSchema } from '@guavaspindle/dispatcher/settings';
import { gatewaySchema } from '@guavaspindle/gateway/settings';

/** The schema of each binary's settings. */
export const settingsSchemas = {
  gateway: gatewaySchema,
  dispatcher: dispatcherSchema,
  agent: agentSchema,
} as const;
