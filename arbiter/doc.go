// Package arbiter has one instance decide for the long prompts of all. Long prompts
// are few, and each takes many engines for a second or more. Instances that
// place them on their own hear of each other a moment late: prompts that wait see
// the same engines become free and take them at the same moment, and an engine that
// gets two parts leaves the first one waiting. One that decides for all knows at
// once what it gave away, and which of those that wait are worth most.
//
// The package is free of input and output: it is given what is asked and known, and
// returns the answers. Nothing in it outlives the instance: whoever asks keeps
// asking until it has an answer, and asks another instance when none comes.
package arbiter
