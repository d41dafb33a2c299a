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

// announceInterval is the time between two announcements to the same instance.
const announceInterval = time.Second

// announceTimeout limits the time for one announcement.
const announceTimeout = 2 * time.Second

// maxAddresses limits the number of instances that receive announcements. Answers
// name further instances, so that an upstream can still announce itself when all
// its configured instances have failed.
const maxAddresses = 12

// maxFailures is the number of consecutive failed announcements after which an
// instance that was learned from an answer is removed.
const maxFailures = 30

// announcer sends announcements of the stand-in and its load to instances.
type announcer struct {
	dial       Dialer
	key        string
	log        logrus.FieldLogger
	configured []string
	describe   func(now time.Time) upstream.Announcement
	gate       func(context.Context) // blocks while announcements must not be sent
	trigger    chan struct{}

	mu       sync.Mutex
	sequence uint64
	targets  map[string]*announceTarget
	calls    sync.WaitGroup
}

// announceTarget is one instance that receives announcements.
type announceTarget struct {
	busy     bool // an announcement is in flight
	failures int  // consecutive failures
}

func newAnnouncer(o *Options, describe func(time.Time) upstream.Announcement, gate func(context.Context)) *announcer {
	a := &announcer{
		dial:       o.Dial,
		key:        o.UpstreamKey,
		log:        o.Log,
		configured: o.Announce,
		describe:   describe,
		gate:       gate,
		trigger:    make(chan struct{}, 1),
		targets:    map[string]*announceTarget{},
	}
	for _, address := range o.Announce {
		a.targets[address] = &announceTarget{}
	}
	return a
}

// run sends announcements until ctx ends.
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
		case <-a.trigger:
		}
	}
}

// announceNow triggers the next announcement immediately.
func (a *announcer) announceNow() {
	select {
	case a.trigger <- struct{}{}:
	default:
	}
}

// announceAll sends one announcement to each instance that has none in flight. An
// instance that hangs must not delay the announcements to the others, which would
// consider the upstream silent.
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
			a.recordResult(address, further, err)
		}()
	}
}

// recordResult records the outcome of one announcement, adds the further instances
// that the answer named, and removes a learned instance after maxFailures.
func (a *announcer) recordResult(address string, further []string, err error) {
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
	if target.failures >= maxFailures && !slices.Contains(a.configured, address) {
		delete(a.targets, address)
	}
	for _, one := range further {
		if a.targets[one] == nil && len(a.targets) < maxAddresses {
			a.targets[one] = &announceTarget{}
		}
	}
}

// announce sends one announcement on a new connection. It is idempotent.
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

// exchangeJSON makes one call on a new connection and decodes its JSON answer, which
// is limited to maxSmallAnswer bytes.
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
