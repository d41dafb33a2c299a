// Package httpwire reads and writes HTTP/1.1 messages and preserves what the sender
// wrote: the spelling of header fields, the raw request target and the framing of
// bodies.
//
// The parser is strict wherever leniency would let two readers of one connection
// disagree about where a message ends, which allows request smuggling. It rejects
// duplicate lengths, a length together with chunks, malformed chunk sizes, a bare CR
// or LF, folded fields and malformed field names.
package httpwire
