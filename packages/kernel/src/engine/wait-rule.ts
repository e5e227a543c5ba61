import type { PlaceOffer } from './place-offer';

/** Returns whether a task waits for the better place of an offer. */
export type WaitRule = (offer: PlaceOffer) => boolean;
