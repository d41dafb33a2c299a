// Package accounting connects the ledger to the fleet: it copies the account of
// this instance to the voters and answers operators' requests for reports from the
// counters of all instances.
package accounting
