// Package metrics exposes the counters of an instance to Prometheus. Request metrics
// are read from the ledger at each scrape, so metrics and reports are always
// consistent. Label values are bounded: organisations and classes of the settings
// tree, and the fixed sets of reasons, verdicts, length buckets and states.
package metrics
