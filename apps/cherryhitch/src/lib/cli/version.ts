/** Version of the program; the same as in its manifest. @public */
export const VERSION = '0.1.0'
