// Package accounting connects the ledger to the fleet: it copies the account of
// this instance to the voters, and answers operators' reports from what all
// instances know.
package accounting
