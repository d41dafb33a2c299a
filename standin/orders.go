package standin

import (
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// maxOrders limits the list of executed orders.
const maxOrders = 64

// orders holds the configuration of the engine and executes the orders that change it.
type orders struct {
	fencing upstream.Fencing

	mu    sync.Mutex
	state wire.EngineState
}

func newOrders(o *EngineOptions) *orders {
	return &orders{
		fencing: o.Fencing,
		state:   wire.EngineState{Models: slices.Clone(o.Targets), Version: o.Version, Role: "serve"},
	}
}

// read returns a copy of the state.
func (o *orders) read(incarnation uint64) wire.EngineState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.copy(incarnation)
}

func (o *orders) copy(incarnation uint64) wire.EngineState {
	state := o.state
	state.Incarnation = incarnation
	state.Models = slices.Clone(state.Models)
	state.Adapters = slices.Clone(state.Adapters)
	state.Orders = slices.Clone(state.Orders)
	return state
}

// execute executes an order. An engine that checks fencing numbers rejects an order
// whose number is lower than that of an earlier order, and executes a repeated order
// only once. An engine that does not check them executes every order each time it
// arrives.
func (o *orders) execute(order *wire.Order, incarnation uint64) wire.OrderResponse {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fencing == upstream.FencingChecked {
		if o.older(order) {
			return wire.OrderResponse{Reason: "older fencing number", State: o.copy(incarnation)}
		}
		o.state.FenceTerm, o.state.FenceIndex = order.Term, order.Index
		if slices.Contains(o.state.Orders, order.ID) {
			return wire.OrderResponse{Accepted: true, State: o.copy(incarnation)}
		}
	}
	if !o.apply(order) {
		return wire.OrderResponse{Reason: "unknown kind of order", State: o.copy(incarnation)}
	}
	o.state.Orders = append(o.state.Orders, order.ID)
	if excess := len(o.state.Orders) - maxOrders; excess > 0 {
		o.state.Orders = slices.Delete(o.state.Orders, 0, excess)
	}
	return wire.OrderResponse{Accepted: true, State: o.copy(incarnation)}
}

func (o *orders) older(order *wire.Order) bool {
	if order.Term != o.state.FenceTerm {
		return order.Term < o.state.FenceTerm
	}
	return order.Index < o.state.FenceIndex
}

func (o *orders) apply(order *wire.Order) bool {
	s := &o.state
	switch order.Kind {
	case wire.OrderLoadModel:
		s.Models = include(s.Models, order.Value)
	case wire.OrderUnloadModel:
		s.Models = exclude(s.Models, order.Value)
	case wire.OrderLoadAdapter:
		s.Adapters = include(s.Adapters, order.Value)
	case wire.OrderUnloadAdapter:
		s.Adapters = exclude(s.Adapters, order.Value)
	case wire.OrderVersion:
		s.Version = order.Value
	case wire.OrderRole:
		s.Role = order.Value
	default:
		return false
	}
	return true
}

func include(list []string, value string) []string {
	if slices.Contains(list, value) {
		return list
	}
	return append(list, value)
}

func exclude(list []string, value string) []string {
	return slices.DeleteFunc(list, func(one string) bool { return one == value })
}

// serveOrder executes or rejects an order.
func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var order wire.Order
	if !decode(ctx, &order) {
		return
	}
	if order.ID == "" || order.Value == "" {
		refuse(ctx, fasthttp.StatusBadRequest, "order without id or value")
		return
	}
	response := e.orders.execute(&order, e.options.Incarnation)
	fields := logrus.Fields{
		"name": e.options.Name, "order": order.ID, "kind": order.Kind, "value": order.Value,
		"term": order.Term, "index": order.Index, "reason": response.Reason,
	}
	if response.Accepted {
		eventOrder.Log(e.options.Log, fields)
	} else {
		eventOrderRefused.Log(e.options.Log, fields)
	}
	respondJSON(ctx, &response)
}
