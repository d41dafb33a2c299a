package forward

import (
	"context"
	"net/http"
)

// MemoryUse is what an engine states about the use of memory that was reserved there.
type MemoryUse uint8

const (
	// MemoryUnknown means that the engine did not reply, or does not list the reservation.
	MemoryUnknown MemoryUse = iota
	// MemoryUnused means that no call uses it yet.
	MemoryUnused
	// MemoryUsed means that a call uses it.
	MemoryUsed
)

// String returns the name used in logs.
func (u MemoryUse) String() string {
	switch u {
	case MemoryUnused:
		return "unused"
	case MemoryUsed:
		return "used"
	default:
		return "unknown"
	}
}

// memoryUse asks an engine whether a call uses the memory of a reservation.
func (f *fleet) memoryUse(ctx context.Context, r *reservation) MemoryUse {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	head := f.options.Dialect.ReportMessage(r.node.address, r.node.name)
	status, body, err := f.roundTrip(ctx, r.node, head, nil, reuseForCalls)
	if err != nil || status != http.StatusOK {
		return MemoryUnknown
	}
	use, err := f.options.Dialect.DecodeMemoryUse(body, r.name)
	if err != nil {
		return MemoryUnknown
	}
	return use
}
