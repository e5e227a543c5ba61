/** A value of type `T` that only a deliberate cast or a parser can turn into the named type. */
export type Brand<T, Name extends string> = T & { readonly __brand: Name };
