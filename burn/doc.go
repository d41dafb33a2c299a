// Package burn computes the error budgets of the objectives of all classes: the part
// that is spent, the burn rates over pairs of windows with the alerts that follow
// from them, the organisations and causes that contribute most, and the time until
// the budget is exhausted. All results are pure functions of the ledger's counters.
package burn
