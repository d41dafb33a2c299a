package state

import "time"

// order is the stored record of a decided order.
type order struct {
	ID      string    `json:"id"`
	Base    uint64    `json:"base"`
	Digest  string    `json:"digest"`
	At      time.Time `json:"at"`
	Outcome Outcome   `json:"outcome"`
}

// orderStore stores decided orders until their ids expire, in order of arrival.
//
// A resent order must not run after its id has expired: an operator whose answer was lost
// would otherwise apply an old tree a second time. A resent order carries the same base as
// the first one, and the base of every expired order is at most ExpiredBase. An unknown id
// with such a base is therefore rejected as expired. The accepted revision is always above
// ExpiredBase, so new orders are never rejected for this reason.
type orderStore struct {
	Orders      []order `json:"orders"`
	ExpiredBase *uint64 `json:"forgotten_base,omitempty"`
}

// maxOrders bounds the memory for stored orders. Beyond it, the oldest ids expire before the
// end of their lifetime.
const maxOrders = 20_000

// find returns the stored order with the given id.
func (b *orderStore) find(id string) (order, bool) {
	for i := len(b.Orders) - 1; i >= 0; i-- {
		if b.Orders[i].ID == id {
			return b.Orders[i], true
		}
	}
	return order{}, false
}

// mayBeExpired reports whether an unknown id with this base may be a resend of an order
// that has expired.
func (b *orderStore) mayBeExpired(base uint64) bool {
	return b.ExpiredBase != nil && base <= *b.ExpiredBase
}

// add stores a decided order.
func (b *orderStore) add(o order) { b.Orders = append(b.Orders, o) }

// expire drops the orders that were decided before the given time and raises ExpiredBase to
// cover them. A base above the accepted revision never existed and must not raise
// ExpiredBase.
func (b *orderStore) expire(before time.Time, accepted uint64) {
	drop := max(0, len(b.Orders)-maxOrders)
	for drop < len(b.Orders) && b.Orders[drop].At.Before(before) {
		drop++
	}
	if drop == 0 {
		return
	}
	for _, o := range b.Orders[:drop] {
		b.raiseExpiredBase(o.Base, accepted)
	}
	b.Orders = append([]order(nil), b.Orders[drop:]...)
}

func (b *orderStore) raiseExpiredBase(base, accepted uint64) {
	if base >= accepted {
		return
	}
	if b.ExpiredBase == nil || base > *b.ExpiredBase {
		b.ExpiredBase = &base
	}
}
