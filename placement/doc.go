// Package placement decides which engines read and answer a call. It is pure: it
// is given what is known of the engines and returns a plan.
//
// An engine works in passes: one token of every stream that it writes, a stride of
// such steps a pass, and between the steps the prompts that it reads, piece by
// piece. So a stream beside a long prompt gets its next event only after the
// pieces of that pass, which take many times as long as the steps alone. Streams with short pauses therefore
// gather on as few engines as serve them in time. Long prompts are read in even parts,
// all at once, by the engines with the fewest such streams, and wait until there are
// enough of them that no stream feels its part.
package placement
