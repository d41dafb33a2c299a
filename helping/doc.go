// Package helping finds engines that fail the prompts of which they read a part for another engine. Such an engine may
// answer its own calls well, so its parts are judged apart from them.
//
// The package does no I/O; a driver records the outcomes of prompts.
package helping
