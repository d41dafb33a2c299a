package instance

import (
	"context"
	"net"

	"github.com/sirupsen/logrus"

	"celeryport/binding"
)

// controlListener is the listener of the control address. It is given to control when that is
// created, but opened later: while a data folder is waited for, other instances get their
// connections refused instead of waiting for answers.
type controlListener struct{ net.Listener }

// open opens the address unless it is open. It must be called before control runs.
func (l *controlListener) open(ctx context.Context, log logrus.FieldLogger, address string) (err error) {
	if l.Listener == nil {
		l.Listener, err = binding.TCP(ctx, log, "control", address)
	}
	return err
}

func (l *controlListener) close() {
	if l.Listener != nil {
		_ = l.Close() // nobody has used it
	}
}
