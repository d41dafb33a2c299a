package signals

import (
	"os"
	"slices"
	"syscall"
	"testing"
)

// Guards against signals that are lost because they arrive before an instance consumes them or
// after many others, and against one that is delivered twice and logged as a repeated one.
func TestSignalsBeforeAConsumerAreKept(t *testing.T) {
	d := newDispatcher()
	for range 100 {
		d.deliver(syscall.SIGHUP)
	}
	d.deliver(syscall.SIGTERM)
	first := d.add()
	expect(t, first, syscall.SIGHUP, syscall.SIGTERM)
	d.deliver(syscall.SIGINT)
	second := d.add()
	expect(t, first, syscall.SIGINT)
	expect(t, second)
	first.Close()
	second.Close()
	d.deliver(syscall.SIGTERM)
	d.deliver(syscall.SIGINT)
	expect(t, first)
	expect(t, d.add(), syscall.SIGTERM, syscall.SIGINT)
}

func expect(t *testing.T, c *Consumer, want ...os.Signal) {
	t.Helper()
	var got []os.Signal
	for len(c.HangUps) > 0 {
		got = append(got, <-c.HangUps)
	}
	for len(c.Stops) > 0 {
		got = append(got, <-c.Stops)
	}
	if !slices.Equal(got, want) {
		t.Errorf("received %v, want %v", got, want)
	}
}
