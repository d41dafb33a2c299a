// Package progress bounds what a peer may send, and for how long, before its reader recognises a part of an
// answer: a head, a frame, a piece of a body. Bytes alone show no progress, since a faulty peer may send them
// without end.
package progress

import "time"

// Limit bounds what precedes the next recognised part. Fields that are 0 bound nothing.
type Limit struct {
	Idle    time.Duration // until the part is complete
	Partial time.Duration // in which its bytes arrive one after the other; a pause of this length or more is silence, and does not count
	Bytes   int64         // received before it is complete
}

// Meter decides how long and how much its reader may go on reading. It answers the load of faulty peers that
// send bytes without an answer, each of which holds a call, its memory and a processor; peers that are silent
// are left to Idle. It is not safe for concurrent use.
type Meter struct {
	limit    Limit
	since    time.Time     // of the last progress
	last     time.Time     // of the last byte after it; zero: none yet
	arriving time.Duration // for which bytes have arrived since
	bytes    int64         // since the last counted progress
}

// NewMeter returns a meter that starts at now.
func NewMeter(limit Limit, now time.Time) Meter { return Meter{limit: limit, since: now} }

// Advance records that a part is complete. Bytes that were received beyond it count from then on.
func (m *Meter) Advance(now time.Time) {
	m.Resume(now)
	m.bytes = 0
}

// Resume records that the peer is alive, but has sent no part of an answer: the time starts again, the bytes
// add up.
func (m *Meter) Resume(now time.Time) { m.since, m.last, m.arriving = now, time.Time{}, 0 }

// Received records n bytes.
func (m *Meter) Received(now time.Time, n int) {
	if n <= 0 {
		return
	}
	if pause := now.Sub(m.last); !m.last.IsZero() && pause < m.limit.Partial {
		m.arriving += pause
	}
	m.last = now
	m.bytes += int64(n)
}

// Deadline returns the time at which the reader gives up a silent peer, or zero if there is none.
func (m *Meter) Deadline() time.Time {
	if m.limit.Idle <= 0 {
		return time.Time{}
	}
	return m.since.Add(m.limit.Idle)
}

// Overdue reports whether the bytes of a part have arrived for too long.
func (m *Meter) Overdue() bool { return m.limit.Partial > 0 && m.arriving >= m.limit.Partial }

// Dripping reports whether the peer has sent bytes rather than been silent, most of the time that they may take.
func (m *Meter) Dripping() bool { return m.limit.Partial > 0 && m.arriving >= m.limit.Partial/2 }

// Allowance returns how many of the next want bytes may be read; 0 means that the peer has sent too many.
func (m *Meter) Allowance(want int) int {
	if m.limit.Bytes <= 0 {
		return want
	}
	return int(max(0, min(int64(want), m.limit.Bytes-m.bytes)))
}
