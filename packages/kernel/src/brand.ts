/**
 * A branded type: a value of type `T` becomes the named type only by an explicit cast or a parser.
 */
export type Brand<T, Name extends string> = T & { readonly __brand: Name };
