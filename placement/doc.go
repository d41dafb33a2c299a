// Package placement decides which engines prefill a prompt and which one decodes the answer. It
// does no I/O and keeps no state: the caller passes in what it knows of the engines and gets a
// plan.
//
// An engine works in passes. A pass is a stride of decode steps, each of which yields one token
// for every running stream; between the steps the engine prefills queued prompts chunk by chunk.
// A stream that shares an engine with a long prompt therefore gets its next event only after all
// chunks of the pass, which take many times as long as the steps alone.
//
// Streams whose route allows only short pauses between events (tight streams) are therefore
// packed onto as few engines as can serve them in time. Long prompts are split into equal parts
// that are prefilled at the same time, on the engines with the fewest tight streams; a long
// prompt waits until enough engines are free for its parts not to delay any stream.
package placement
