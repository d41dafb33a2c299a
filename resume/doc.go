// Package resume decides whether several runs of a call make up one stream: a run that breaks off is followed by another
// one, which is asked to go on after the last event that the caller has.
//
// No part of a stream may end as a whole one, and no event may be missing or come twice. What a run has to show for that:
//
//   - It goes on with a stream only if its head has the status of the first run and states no other type than an event
//     stream. Any other success, like 204, proves nothing about what follows.
//   - Its IDs increase. Events that the caller has are skipped, the others follow without a gap.
//   - It ends the stream if it ends in order, without an event or with one that is not before the last one of the caller.
//   - An event without an ID belongs after the one before it. Where that is unknown, the run fails.
//
// The package is pure.
package resume
