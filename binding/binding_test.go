package binding

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"celeryport/resilient"
)

// failure is the form in which package net returns the error of a system call.
func failure(number syscall.Errno) error {
	return &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", number)}
}

func messages(hook *logtest.Hook) []string {
	var all []string
	for _, entry := range hook.AllEntries() {
		all = append(all, entry.Message)
	}
	return all
}

// Guards against a process that ends, keeps silent or writes a line for each attempt while an
// address is held, and against one that serves the address late.
func TestAddressIsWaitedFor(t *testing.T) {
	for _, number := range []syscall.Errno{
		syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN,
	} {
		synctest.Test(t, func(t *testing.T) {
			log, hook := logtest.NewNullLogger()
			free := time.Now().Add(2*logInterval + time.Second)
			_, err := await(t.Context(), log, "callers", "127.0.0.1:80", func() (int, error) {
				if time.Now().Before(free) {
					return 0, failure(number)
				}
				return 1, nil
			})
			if err != nil {
				t.Fatalf("%v: %v", number, err)
			}
			if late := time.Since(free); late > 100*time.Millisecond {
				t.Errorf("%v: bound %s after the address was free", number, late)
			}
			if got := messages(hook); len(got) != 4 || got[0] != "address not free" || got[3] != "address bound" {
				t.Errorf("%v: logged %q", number, got)
			}
			first := hook.AllEntries()[0].Data
			if first["address"] != "127.0.0.1:80" || first["purpose"] != "callers" || !errors.Is(first["error"].(error), number) {
				t.Errorf("%v: logged fields %v", number, first)
			}
		})
	}
}

// Guards against a process that waits for ever for an address that its host never has.
func TestUnusableAddressIsRefusedAtOnce(t *testing.T) {
	for _, address := range []string{"192.0.2.1:0", "127.0.0.1:65536", "127.0.0.1", "127.0.0.1:no-such-service"} {
		log, hook := logtest.NewNullLogger()
		for name, open := range map[string]func() error{
			"TCP": func() error { _, err := TCP(t.Context(), log, "control", address); return err },
			"UDP": func() error { _, err := UDP(t.Context(), log, "control", address); return err },
		} {
			var refusal *Refusal
			if err := open(); !errors.As(err, &refusal) || refusal.Address != address {
				t.Errorf("%s %s: %v", name, address, err)
			}
		}
		if got := messages(hook); len(got) != 2 || got[0] != "address refused" {
			t.Errorf("%s: logged %q", address, got)
		}
	}
	for _, number := range []syscall.Errno{syscall.EACCES, syscall.EPERM, syscall.EADDRNOTAVAIL, syscall.EAFNOSUPPORT} {
		if passes(failure(number)) {
			t.Errorf("%v is waited for", number)
		}
	}
}

// Guards against the refusal of an address whose name can't be looked up for a moment.
func TestFailedLookupIsWaitedFor(t *testing.T) {
	if !passes(&net.OpError{Op: "listen", Err: &net.DNSError{Err: "server misbehaving", IsTemporary: true}}) {
		t.Error("a temporary failure is refused")
	}
	if passes(&net.OpError{Op: "listen", Err: &net.DNSError{Err: "no such host", IsNotFound: true}}) {
		t.Error("an unknown name is waited for")
	}
}

// Guards against SIGTERM without effect while an address is held.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := logtest.NewNullLogger()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, err := await(ctx, log, "callers", "127.0.0.1:80", func() (int, error) { return 0, failure(syscall.EADDRINUSE) })
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Second {
			t.Errorf("%v after %s", err, time.Since(began))
		}
		if got := messages(hook); len(got) != 1 {
			t.Errorf("logged %q", got)
		}
	})
}

// Guards against sockets that the kernel reports as held in another way than the cases above.
func TestHeldSocketIsBoundOnceItIsClosed(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	stream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	packet, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hook.Reset()
	log.AddHook(closer{stream.Addr().String(): stream.Close, packet.LocalAddr().String(): packet.Close})
	listener, err := TCP(t.Context(), log, "callers", stream.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := UDP(t.Context(), log, "loads", packet.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, ok := listener.(*resilient.Listener); !ok {
		t.Errorf("the listener is a %T", listener)
	}
	if _, ok := conn.(*resilient.PacketConn); !ok {
		t.Errorf("the connection is a %T", conn)
	}
	if got := messages(hook); len(got) != 4 {
		t.Errorf("logged %q", got)
	}
}
