/** The health of a backend server; times are in monotonic milliseconds. */
export type HealthState =
  | { readonly type: 'healthy' }
  | { readonly type: 'ejected'; readonly untilMs: number; readonly ejections: number }
  | {
      readonly type: 'probation';
      readonly successesLeft: number;
      readonly trialRunning: boolean;
      readonly ejections: number;
    };
