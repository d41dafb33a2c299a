package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// announceInterval is the time between two announcements to one instance.
const announceInterval = time.Second

// announceTimeout bounds one announcement.
const announceTimeout = 2 * time.Second

// mostAddresses bounds the instances that are announced to. Answers name further
// ones, so that an upstream whose configured instances all died is still heard.
const mostAddresses = 12

// forgetAfter is how many announcements in a row may fail before an instance
// that was learned from an answer is forgotten.
const forgetAfter = 30

// announcer tells entry instances what the stand-in is and how it is loaded.
type announcer struct {
	dial       Dialer
	key        string
	log        logrus.FieldLogger
	configured []string
	describe   func(now time.Time) upstream.Announcement
	gate       func(context.Context) // returns when announcements may leave
	kick       chan struct{}

	mu       sync.Mutex
	sequence uint64
	targets  map[string]*announceTarget
	calls    sync.WaitGroup
}

// announceTarget is one instance that is announced to.
type announceTarget struct {
	busy     bool
	failures int
}

func newAnnouncer(o *Options, describe func(time.Time) upstream.Announcement, gate func(context.Context)) *announcer {
	a := &announcer{
		dial:       o.Dial,
		key:        o.UpstreamKey,
		log:        o.Log,
		configured: o.Announce,
		describe:   describe,
		gate:       gate,
		kick:       make(chan struct{}, 1),
		targets:    map[string]*announceTarget{},
	}
	for _, address := range o.Announce {
		a.targets[address] = &announceTarget{}
	}
	return a
}

// run announces until ctx ends.
func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	defer a.calls.Wait()
	for {
		a.gate(ctx)
		a.announceAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.kick:
		}
	}
}

// now makes the next announcement at once.
func (a *announcer) now() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// announceAll sends one announcement to every instance that is not still busy
// with the last one. One that hangs must not hold up the others: they would
// take the upstream for dead.
func (a *announcer) announceAll(ctx context.Context) {
	a.mu.Lock()
	a.sequence++
	sequence := a.sequence
	var addresses []string
	for address, target := range a.targets {
		if !target.busy {
			target.busy = true
			addresses = append(addresses, address)
		}
	}
	a.mu.Unlock()
	if len(addresses) == 0 {
		return
	}
	announcement := a.describe(time.Now())
	announcement.Sequence = sequence
	body, err := json.Marshal(&announcement)
	if err != nil {
		eventAnnounceFailed.Log(a.log, logrus.Fields{"error": err.Error()})
		return
	}
	for _, address := range addresses {
		a.calls.Add(1)
		go func() {
			defer a.calls.Done()
			further, err := a.announce(ctx, address, body)
			a.note(address, further, err)
		}()
	}
}

// note records the outcome of one announcement.
func (a *announcer) note(address string, further []string, err error) {
	if err != nil {
		eventAnnounceFailed.Log(a.log, logrus.Fields{"address": address, "error": err.Error()})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	target := a.targets[address]
	target.busy = false
	target.failures++
	if err == nil {
		target.failures = 0
	}
	if target.failures >= forgetAfter && !slices.Contains(a.configured, address) {
		delete(a.targets, address)
	}
	for _, one := range further {
		if a.targets[one] == nil && len(a.targets) < mostAddresses {
			a.targets[one] = &announceTarget{}
		}
	}
}

// announce makes one call on a connection of its own. It is idempotent.
func (a *announcer) announce(ctx context.Context, address string, body []byte) ([]string, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + wire.PathAnnounce)
	request.Header.SetContentType(contentTypeJSON)
	request.Header.Set(fasthttp.HeaderAuthorization, bearer+a.key)
	request.SetConnectionClose()
	request.SetBodyRaw(body)
	var answer wire.AnnounceResponse
	if err := exchangeJSON(ctx, a.dial, address, request, announceTimeout, &answer); err != nil {
		return nil, err
	}
	return answer.Addresses, nil
}

// exchangeJSON makes one call whose answer is a small JSON value.
func exchangeJSON(ctx context.Context, dial Dialer, address string, request *fasthttp.Request, timeout time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := request.WriteTo(conn); err != nil {
		return errors.Wrap(err, "send")
	}
	var response fasthttp.Response
	if err := response.ReadLimitBody(bufio.NewReader(conn), maxSmallAnswer); err != nil {
		return errors.Wrap(err, "receive")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("answered with status %d", response.StatusCode())
	}
	return errors.Wrap(json.Unmarshal(response.Body(), answer), "decode")
}
