// Package slopes measures what control costs: bytes, messages, processor time
// and memory for each instance, upstream and change, at several sizes, with real
// nodes, connections and synced files inside one process on loopback. The page
// on capacity is worked out from its results.
package slopes
