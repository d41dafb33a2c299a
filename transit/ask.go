package transit

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/failover"
	"celeryport/membership"
	"celeryport/rpc"
)

// askTimeout bounds one question: the connection, and the attempt of the other instance to reach an
// upstream.
const askTimeout = rpc.TransitVerifyTimeout + connectTimeout

const (
	// upstreamRetention is how long a finding about one upstream counts.
	upstreamRetention = 500 * time.Millisecond
	// maxAskedOnUpstream is how many instances are asked about one upstream: each knows as much as the one that
	// asks would know if its paths held.
	maxAskedOnUpstream = 2
)

// OthersOn returns what the other instances replied lately to the question whether an upstream has ended. If that
// is not known, they are asked in the background and the last result is false. The same ones are asked each time:
// some ends show only after several attempts.
func (p *Pool) OthersOn(instances []membership.Instance, service string, upstream uint64) (Finding, bool) {
	now, name := time.Now(), fmt.Sprintf("%s/%x", service, upstream)
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, known := p.survey.Within(now, name, upstreamRetention); known {
		return f, true
	}
	if p.survey.Begin(now, name) {
		asked := p.peers.Sample(instances, func() float64 { return float64(upstream>>11) / (1 << 53) })
		ask := rpc.TransitAsk{Service: service, Verify: true, Upstream: upstream}
		go p.askAll(asked[:min(maxAskedOnUpstream, len(asked))], name, ask, func(Finding) {})
	}
	return Finding{}, false
}

// Others returns what the other instances replied lately to the question whether they serve a service.
// If that is not known, they are asked in the background and the last result is false. changed is
// called with a finding that differs from the one before.
func (p *Pool) Others(instances []membership.Instance, service string, draw func() float64, changed func(Finding)) (Finding, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, known := p.survey.Finding(now, service); known {
		return f, true
	}
	if p.survey.Begin(now, service) {
		go p.askAll(p.peers.Sample(instances, draw), service, rpc.TransitAsk{Service: service, Verify: true}, changed)
	}
	return Finding{}, false
}

// askAll asks instances until one serves the service or all have replied. The finding is recorded under a name.
func (p *Pool) askAll(asked []membership.Instance, name string, ask rpc.TransitAsk, changed func(Finding)) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	type answer struct {
		name  string
		reply Reply
	}
	answers := make(chan answer, len(asked))
	for i := range asked {
		go func() { answers <- answer{asked[i].Name, p.ask(ctx, asked[i].ControlAddress, ask)} }()
	}
	var f Finding
	for range asked {
		a := <-answers
		f.add(a.name, a.reply)
		if f.Others == OthersServe {
			break
		}
	}
	p.mu.Lock()
	differs := p.survey.Record(time.Now(), name, f)
	p.mu.Unlock()
	if differs {
		changed(f)
	}
}

// IsSilent reports whether a connection failed because the other instance did not reply in time: it may be sound.
func IsSilent(err error) bool {
	var network net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &network) && network.Timeout()
}

// ask asks one instance. The connection to one that serves the service is kept.
func (p *Pool) ask(ctx context.Context, address string, ask rpc.TransitAsk) Reply {
	conn, err := p.open(ctx, address, ask)
	switch {
	case err == nil:
		p.Keep(address, conn)
		return Serves
	case errors.Is(err, ErrReachesNone):
		return ReachesNone
	case errors.Is(err, errUpstreamEnded):
		return ReportsEnd
	case IsSilent(err) && p.Contact(time.Now(), address, false) != failover.Ended:
		return Silent
	default:
		return NotReached
	}
}
