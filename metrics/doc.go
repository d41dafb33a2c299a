// Package metrics exposes what an instance counts to Prometheus. Requests are
// read from the ledger when they are scraped, so metrics and reports never
// disagree. Labels are bounded: organisations and classes of the settings tree,
// and the fixed sets of reasons, verdicts, length buckets and states.
package metrics
