package client

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"

	"celeryport/failover"
)

// Marks of the errors of calls that did not reach their upstream.
var (
	errRefused      = errors.New("connection refused")
	errNoConnection = errors.New("no connection in time")
	errNotOpened    = errors.New("connection not opened")
	errReplaced     = errors.New("another incarnation at the address")
)

// connectMark returns the mark for the error of opening a connection within ctx. A machine that is
// silent takes no connection in time; one whose upstream has ended refuses it.
func connectMark(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return errRefused
	case ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded):
		return errNoConnection
	default:
		return errNotOpened
	}
}

// ContactOf returns what the end of a call shows of its upstream.
func ContactOf(err error) failover.Contact {
	switch {
	case errors.Is(err, errRefused), errors.Is(err, errReplaced):
		return failover.Ended
	case errors.Is(err, errNoConnection):
		return failover.Unreachable
	default:
		return failover.Reachable
	}
}
