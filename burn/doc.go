// Package burn measures the classes of work against their objectives: how much
// of each error budget is spent, how fast it burns over pairs of windows, who
// and what burns it, and how long it lasts at this rate. All types are pure
// functions of the ledger's counters over time.
package burn
