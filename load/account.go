package load

import (
	"cmp"
	"slices"
)

// Account counts the outcomes that the callers of one organisation and class
// received. Every try that reached an instance counts once, retries included. A
// usage report of the system over the same time has to agree with it.
type Account struct {
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	Served       int    `json:"served"`
	Refused      int    `json:"refused"`
	Failed       int    `json:"failed"`
	Unanswered   int    `json:"unanswered"` // sent, but no instance reported the outcome, or not correctly
}

// accounts holds one account for each pair of organisation and class.
type accounts map[[2]string]*Account

// add counts the outcome of one try.
func (a accounts) add(w *Work, o *Outcome) {
	name := [2]string{w.Organisation, w.Class.Name}
	account := a[name]
	if account == nil {
		account = &Account{Organisation: w.Organisation, Class: w.Class.Name}
		a[name] = account
	}
	switch {
	case o.Result == Served:
		account.Served++
	case o.Result == Refused && o.Status == 0:
		// The request did not reach an instance.
	case o.Result == Refused:
		account.Refused++
	case o.Result == Failed && o.reportedByInstance():
		account.Failed++
	default:
		account.Unanswered++
	}
}

// reportedByInstance reports whether an instance itself reported the failure.
func (o *Outcome) reportedByInstance() bool {
	switch o.Reason {
	case reasonConnectionBroken, reasonCutOff, reasonMalformed, reasonTimeout:
		return false
	}
	return true
}

// list returns the accounts, ordered by organisation and class.
func (a accounts) list() []Account {
	all := make([]Account, 0, len(a))
	for _, account := range a {
		all = append(all, *account)
	}
	slices.SortFunc(all, func(x, y Account) int {
		return cmp.Or(cmp.Compare(x.Organisation, y.Organisation), cmp.Compare(x.Class, y.Class))
	})
	return all
}
