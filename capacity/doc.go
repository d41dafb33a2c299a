// Package capacity works out what each role of a fleet needs at a target size,
// from the slopes that were measured on one machine (docs/slopes.json and
// docs/slopes-traffic.json), and renders docs/CAPACITY.md. It is arithmetic
// only: what was measured at tens of instances is drawn on as a straight line,
// and the page says so.
package capacity
