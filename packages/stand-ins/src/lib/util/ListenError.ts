/** A stand-in could not listen on its address. @public */
export class ListenError extends Error {}
