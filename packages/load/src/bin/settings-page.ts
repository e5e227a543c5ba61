import { writeFileSync } from 'node:fs';
import { agentSchema } from '@guavaspindle/agent/settings';
import { dispatcherSchema } from '@guavaspindle/dispatcher/settings';
import { gatewaySchema } from '@guavaspindle/gateway/settings';
import type { z } from 'zod';

/** The notes that a setting's definition carries. */
interface FieldNotes {
  readonly form?: string;
  readonly about?: string;
  readonly fallback?: string;
}

const PAGE_ARGUMENT = 2;

/** Formats one setting as a row of a Markdown table. */
function formatField(key: string, { form = '', about = '', fallback }: FieldNotes): string {
  const absent = fallback === undefined ? 'required' : `\`${fallback}\``;
  return `| \`${key}\` | ${about} | ${form} | ${absent} |`;
}

/** Formats one section; a section of free names is one row. */
function formatSection(name: string, section: z.ZodType): string {
  const shape = (section as unknown as { def: { out?: { shape?: object } } }).def.out?.shape;
  const fields = Object.entries((shape ?? {}) as Record<string, z.ZodType>);
  const rows =
    shape === undefined
      ? [formatField('NAME', (section.meta() ?? {}) as FieldNotes)]
      : fields.map(([key, field]) => formatField(key, (field.meta() ?? {}) as FieldNotes));
  const header = ['| key | meaning | accepted form | when absent |', '|---|---|---|---|'];
  return [`### \`[${name}]\``, '', ...header, ...rows].join('\n');
}

/** Formats the settings of one binary. */
function formatBinary(name: string, schema: z.ZodObject): string {
  const sections = Object.entries(schema.shape);
  const parts = sections.map(([section, fields]) => formatSection(section, fields));
  return [`## ${name}`, ...parts].join('\n\n');
}

const page = [
  '# Settings',
  'Made from the schemas by `npm run settings-page`; CI checks that it is in step.',
  'Settings are INI files, named with `--settings`. `--check` checks a file and starts nothing. A',
  'wrong key, unit or value is named with file, section and accepted form, and ends with exit code 2.',
  '',
  [
    formatBinary('gateway', gatewaySchema),
    formatBinary('dispatcher', dispatcherSchema),
    formatBinary('agent', agentSchema),
  ].join('\n\n'),
  '',
].join('\n');
writeFileSync(process.argv[PAGE_ARGUMENT] ?? 'docs/SETTINGS.md', page);
