import { commonSections } from '@guavaspindle/runtime/settings/common-sections';
import { formatSettingsErrors } from '@guavaspindle/runtime/settings/format-settings-errors';
import { parseSettings } from '@guavaspindle/runtime/settings/parse-settings';
import { z } from 'zod';

const schema = z.strictObject(commonSections);

const validSettings = [
  '[process]',
  'domain = hall-jabal',
  'control = 127.0.0.1:9000',
  'agents = 127.0.0.1:9001, 127.0.0.1:9002',
].join('\n');

/** Returns the valid settings with the line that starts with `key` replaced. */
function replaceLine(key: string, line: string): string {
  return validSettings
    .split('\n')
    .map((originalLine) => (originalLine.startsWith(key) ? line : originalLine))
    .join('\n');
}

describe('parseSettings', () => {
  it('parses units and applies default values', () => {
    const settings = parseSettings(
      schema,
      `${validSettings}\ndrainDelay = 1.5s`,
      'a.ini',
    )._unsafeUnwrap();
    expect(settings.process).toEqual({
      domain: 'hall-jabal',
      control: '127.0.0.1:9000',
      agents: ['127.0.0.1:9001', '127.0.0.1:9002'],
      drainDelay: 1_500,
      drainDeadline: 30_000,
      events: 20_000,
    });
    expect(settings.log.level).toBe('info');
  });

  it.each([
    ['an unknown key', `${validSettings}\ncolour = red`, '[process] colour: not a known setting'],
    ['an unknown section', `${validSettings}\n[extra]\na = 1`, '[extra]: not a known setting'],
    ['a missing key', replaceLine('domain', ''), '[process] domain'],
    ['a missing section', '', '[process]'],
    [
      'a duration without a unit',
      `${validSettings}\ndrainDelay = 500`,
      'accepted: a number and a unit',
    ],
    ['a duration with an unknown unit', `${validSettings}\ndrainDelay = 5d`, 'got "5d"'],
    ['a negative duration', `${validSettings}\ndrainDelay = -5s`, '[process] drainDelay'],
    ['a host name', replaceLine('control', 'control = localhost:1'), 'an IP number and a port'],
    [
      'a port above 65535',
      replaceLine('control', 'control = 127.0.0.1:70000'),
      '[process] control',
    ],
    ['no port', replaceLine('control', 'control = 127.0.0.1'), '[process] control'],
    [
      'a list with an empty item',
      replaceLine('agents', 'agents = 127.0.0.1:1,,'),
      '[process] agents',
    ],
    ['a name with capitals', replaceLine('domain', 'domain = Jabal'), '[process] domain'],
    ['a number out of bounds', `${validSettings}\nevents = 5`, 'from 100 to 1000000'],
    [
      'a word that is not in the list',
      `${validSettings}\n[log]\nlevel = loud`,
      'one of debug, info, warn, error',
    ],
  ])('reports file, section and accepted form: %s', (_name, text, expectedText) => {
    const errors = parseSettings(schema, text, 'a.ini')._unsafeUnwrapErr();
    const message = formatSettingsErrors(errors);
    expect(message).toContain('a.ini: ');
    expect(message).toContain(expectedText);
  });
});
