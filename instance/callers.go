package instance

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"celeryport/binding"
)

// callersAddress is the address of an instance for callers. It is opened for the first time
// before the instance is announced, and again if its listener fails.
type callersAddress struct {
	log      logrus.FieldLogger
	address  string
	listener net.Listener // nil unless it is open and not served yet
}

// open opens the address unless it is open and not served yet.
func (a *callersAddress) open(ctx context.Context) (err error) {
	if a.listener == nil {
		a.listener, err = binding.TCP(ctx, a.log, "callers", a.address)
	}
	return err
}

// serve calls serve with the listener, and closes it when ctx ends.
func (a *callersAddress) serve(ctx context.Context, serve func(net.Listener) error) error {
	listener := a.listener
	a.listener = nil
	defer func() { _ = listener.Close() }() // it may be closed already
	release := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer release()
	return errors.Wrap(serve(listener), "serve callers")
}

// close closes the address if it was opened and is not served.
func (a *callersAddress) close() {
	if a.listener != nil {
		_ = a.listener.Close() // nobody has used it
	}
}
