let lastNumber = 0;

/** Takes the number for a request to cancel a job; no other request of this process has it. */
export function takeRequestNumber(): number {
  lastNumber += 1;
  return lastNumber;
}
