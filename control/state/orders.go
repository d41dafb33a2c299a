package state

import "time"

// order is what is remembered of an order id.
type order struct {
	ID      string    `json:"id"`
	Base    uint64    `json:"base"`
	Digest  string    `json:"digest"`
	At      time.Time `json:"at"`
	Outcome Outcome   `json:"outcome"`
}

// orderBook remembers order ids for their lifetime, in order of arrival.
//
// After an id is forgotten its resend must not run: an operator whose answer
// was lost would otherwise apply an old tree a second time. A resend carries the
// base of the first sending, and every forgotten order had a base of at most
// ForgottenBase. So an unknown id with such a base is refused as forgotten; the
// accepted revision is always above ForgottenBase, so no new order is hit.
type orderBook struct {
	Orders        []order `json:"orders"`
	ForgottenBase *uint64 `json:"forgotten_base,omitempty"`
}

// maxOrders bounds the memory of the book: above it the oldest ids are
// forgotten before their lifetime ends.
const maxOrders = 20_000

// find returns the remembered order.
func (b *orderBook) find(id string) (order, bool) {
	for i := len(b.Orders) - 1; i >= 0; i-- {
		if b.Orders[i].ID == id {
			return b.Orders[i], true
		}
	}
	return order{}, false
}

// mayBeForgotten reports whether an unknown id with this base may be a resend
// of an order that is no longer remembered.
func (b *orderBook) mayBeForgotten(base uint64) bool {
	return b.ForgottenBase != nil && base <= *b.ForgottenBase
}

// remember adds a decided order.
func (b *orderBook) remember(o order) { b.Orders = append(b.Orders, o) }

// forget drops the orders that were decided before the given time. A base above
// the accepted revision never existed and must not raise ForgottenBase.
func (b *orderBook) forget(before time.Time, accepted uint64) {
	drop := max(0, len(b.Orders)-maxOrders)
	for drop < len(b.Orders) && b.Orders[drop].At.Before(before) {
		drop++
	}
	if drop == 0 {
		return
	}
	for _, o := range b.Orders[:drop] {
		b.raise(o.Base, accepted)
	}
	b.Orders = append([]order(nil), b.Orders[drop:]...)
}

func (b *orderBook) raise(base, accepted uint64) {
	if base >= accepted {
		return
	}
	if b.ForgottenBase == nil || base > *b.ForgottenBase {
		b.ForgottenBase = &base
	}
}
