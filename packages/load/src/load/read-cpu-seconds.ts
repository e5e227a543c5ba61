import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
/** Fields of /proc/PID/stat after the command's closing bracket: user and system time. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Reads the processor time that a process has used. */
export function readCpuSeconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) / TICKS_PER_SECOND;
}
