/** A job that ends after this many times its objective is of no use; the platform's rules. */
export const USEFUL_TIME_FACTOR = 3;
