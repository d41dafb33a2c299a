package trickle

import "time"

const (
	// minPulses is how many times a peer must have sent bytes without completing a part to count as trickling. A sound
	// peer writes a part at once or in a few pieces, with a silence in between at worst.
	minPulses = 32
	// minSlowPulses is the same for a peer that sends less than LeastRate.
	minSlowPulses = 6
	// minSlowTime is for how long bytes of a head or an event must arrive at less than LeastRate.
	minSlowTime = 2 * time.Second
	// pulseInterval is the time between two arrivals that count as separate.
	pulseInterval = 10 * time.Millisecond
	// silence is a pause that is no part of a transfer. Whether a silent peer is left is decided elsewhere.
	silence = time.Second
	// rateWindow is how long a body must arrive at its rate to count as a part.
	rateWindow = time.Second
	// keepAliveInterval is the least time between two keep-alives that count as such.
	keepAliveInterval = 75 * time.Millisecond
	// maxKeepAlivePulses is how many arrivals one may take.
	maxKeepAlivePulses = 2
)

// Rate is an amount of data in bytes per second.
type Rate int64

const (
	// LeastRate is the least useful rate of an answer that may be written token by token.
	LeastRate Rate = 192
	// LeastWholeRate is the least useful rate of a body that its sender has as a whole.
	LeastWholeRate Rate = 2 << 10
)

// Meter follows the bytes that arrive while the next part of an answer is awaited. The zero value awaits a head.
type Meter struct {
	since   time.Time // when the wait for the part began
	lastAt  time.Time // when bytes arrived last
	aliveAt time.Time // when the last keep-alive that counts was complete
	rate    Rate      // of the body that is read, 0 if none is
	data    int       // bytes of the body in this part
	kept    bool      // keep-alives have arrived in this part
	partial arrivals
	before  arrivals // up to the last keep-alive
}

// arrivals are the bytes that have arrived since the last part.
type arrivals struct {
	bytes    int
	pulses   int
	pulseAt  time.Time
	arriving time.Duration // in which they arrived, without silences
}

// Await notes that the reader waits for bytes. The wait for a part begins with the first time after the part before.
func (m *Meter) Await(now time.Time) {
	if m.partial.bytes == 0 {
		m.since, m.lastAt = now, now
	}
}

// Received notes the arrival of bytes.
func (m *Meter) Received(now time.Time, n int) {
	p := &m.partial
	if pause := now.Sub(m.lastAt); pause < silence {
		p.arriving += pause
	}
	m.lastAt = now
	p.bytes += n
	if p.pulses == 0 || now.Sub(p.pulseAt) >= pulseInterval {
		p.pulses, p.pulseAt = p.pulses+1, now
	}
}

// Part notes that a part of the answer was complete, which the caller did not have.
func (m *Meter) Part() {
	m.partial, m.before, m.data, m.kept = arrivals{}, arrivals{}, 0, false
}

// Body notes that a body follows, of which data at a rate is progress.
func (m *Meter) Body(least Rate) {
	m.Part()
	m.rate = least
}

// Data notes that n of the bytes received are data of the body.
func (m *Meter) Data(n int) {
	m.data += n
	if m.partial.arriving >= rateWindow && m.rate.reached(m.data, m.partial.arriving) {
		m.Part()
	}
}

// KeepAlive notes that the bytes since the last part or keep-alive were one. A peer that sends them at intervals, each
// at once, works on its answer; they are neither progress nor a trickle.
func (m *Meter) KeepAlive(now time.Time) {
	m.kept = true
	if now.Sub(m.aliveAt) >= keepAliveInterval && m.partial.pulses-m.before.pulses <= maxKeepAlivePulses {
		m.aliveAt, m.partial = now, m.before
	}
	m.before = m.partial
}

// KeptAlive reports whether keep-alives have arrived since the last part.
func (m *Meter) KeptAlive() bool { return m.kept }

// Trickles reports whether the peer sends bytes again and again that complete no part.
func (m *Meter) Trickles() bool {
	p := &m.partial
	if m.rate > 0 {
		return p.pulses >= minSlowPulses && !m.rate.reached(m.data, p.arriving)
	}
	slow := p.pulses >= minSlowPulses && p.arriving >= minSlowTime && !LeastRate.reached(p.bytes, p.arriving)
	return p.pulses >= minPulses || slow
}

// Drips reports whether bytes that complete no part have arrived several times. It explains why a timeout was reached.
func (m *Meter) Drips() bool { return m.partial.pulses >= minSlowPulses }

// Waited returns the time for which the part has been awaited since bytes of it arrived; 0 if none has.
func (m *Meter) Waited(now time.Time) time.Duration {
	if m.partial.bytes == 0 {
		return 0
	}
	return now.Sub(m.since)
}

// reached reports whether n bytes within a time are the rate or more.
func (r Rate) reached(n int, within time.Duration) bool {
	return time.Duration(n)*time.Second >= time.Duration(r)*within
}
