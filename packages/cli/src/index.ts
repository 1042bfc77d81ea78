/** The command line; see main.ts. */
export {};
