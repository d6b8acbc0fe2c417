/** Placeholder entry. */
export {};
