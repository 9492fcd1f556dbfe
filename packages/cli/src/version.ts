/** Version of the program; a test checks that it equals the one in package.json. */
export const version = '0.1.0';
