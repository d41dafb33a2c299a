package instance

import (
	"context"
	"net"

	"github.com/sirupsen/logrus"

	"celeryport/binding"
	"celeryport/supervise"
)

// loadsAddress is the address at which an instance exchanges loads with the others. Like that
// of callers it is opened for the first time before the instance is announced.
type loadsAddress struct {
	log     logrus.FieldLogger
	address string
	share   func(ctx context.Context, conn net.PacketConn) error
	conn    net.PacketConn // nil unless it is open and not used yet
}

func (a *loadsAddress) component() supervise.Component {
	return supervise.Component{Name: "load sharing", Kind: supervise.Reopened, Open: a.open, Run: a.run}
}

func (a *loadsAddress) open(ctx context.Context) (err error) {
	if a.conn == nil {
		a.conn, err = binding.UDP(ctx, a.log, "load sharing", a.address)
	}
	return err
}

func (a *loadsAddress) run(ctx context.Context) error {
	conn := a.conn
	a.conn = nil
	return a.share(ctx, conn) // closes conn
}

func (a *loadsAddress) close() {
	if a.conn != nil {
		_ = a.conn.Close() // nobody has used it
	}
}
