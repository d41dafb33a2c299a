package load

import (
	"cmp"
	"slices"
)

// Account counts what the callers of one organisation and class were told, one
// count for each request that reached an instance, further tries included. A
// report of the system over the same time has to agree with it.
type Account struct {
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	Served       int    `json:"served"`
	Refused      int    `json:"refused"`
	Failed       int    `json:"failed"`
	Unanswered   int    `json:"unanswered"` // sent, but how it ended was not told, or not truly
}

// accounts holds one account for each organisation and class.
type accounts map[[2]string]*Account

// add counts one try.
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
		// Nothing reached an instance.
	case o.Result == Refused:
		account.Refused++
	case o.Result == Failed && o.told():
		account.Failed++
	default:
		account.Unanswered++
	}
}

// told reports whether an instance itself said how the request failed.
func (o *Outcome) told() bool {
	switch o.Reason {
	case reasonBroken, reasonCutOff, reasonMalformed, reasonSilent:
		return false
	}
	return true
}

// list returns the accounts in order.
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
