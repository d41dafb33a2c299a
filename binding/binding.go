package binding

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"celeryport/clock"
	"celeryport/event"
	"celeryport/resilient"
)

// TCP listens on a TCP address (host:port) as soon as it can be bound. The error is that of ctx
// if ctx ends earlier, or a *Refusal. The purpose is what the address serves, for the log. The
// listener is a *resilient.Listener.
func TCP(ctx context.Context, log logrus.FieldLogger, purpose, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := await(ctx, log, purpose, address, func() (net.Listener, error) { return config.Listen(ctx, "tcp", address) })
	if err != nil {
		return nil, err
	}
	return resilient.NewListener(log, purpose, listener), nil
}

// UDP is like TCP for a UDP address. The connection is a *resilient.PacketConn.
func UDP(ctx context.Context, log logrus.FieldLogger, purpose, address string) (net.PacketConn, error) {
	var config net.ListenConfig
	conn, err := await(ctx, log, purpose, address, func() (net.PacketConn, error) { return config.ListenPacket(ctx, "udp", address) })
	if err != nil {
		return nil, err
	}
	return resilient.NewPacketConn(log, purpose, conn), nil
}

// await calls open until it succeeds, fails for good, or ctx ends.
func await[S any](ctx context.Context, log logrus.FieldLogger, purpose, address string, open func() (S, error)) (S, error) {
	var none S
	var waiting wait
	for {
		socket, err := open()
		now := time.Now()
		if err == nil {
			if waited, had := waiting.bound(now); had {
				eventBound.Log(log, event.Fields{"purpose": purpose, "address": address, "waited_ms": waited.Milliseconds()})
			}
			return socket, nil
		}
		if ctx.Err() != nil {
			return none, ctx.Err()
		}
		n := waiting.failed(now, err)
		if n.refuse {
			eventRefused.Log(log, event.Fields{"purpose": purpose, "address": address, "error": err})
			return none, &Refusal{Purpose: purpose, Address: address, Err: err}
		}
		if n.log {
			eventNotFree.Log(log, event.Fields{"purpose": purpose, "address": address, "error": err, "waited_ms": n.waited.Milliseconds()})
		}
		if !clock.Pause(ctx, retryPause) {
			return none, ctx.Err()
		}
	}
}
