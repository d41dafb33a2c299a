// Package httpwire reads and writes HTTP/1.1 messages without changing them: the
// spelling of header fields, the raw request target and the framing of bodies
// stay as the sender chose them.
//
// It is strict where leniency would let two readers of one connection disagree
// about where a message ends, which is request smuggling: two lengths, a length
// beside chunks, malformed chunk sizes, a bare CR or LF, folded fields and
// malformed names are refused.
package httpwire
