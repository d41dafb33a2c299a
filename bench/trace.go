package bench

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"celeryport/request"
)

// Requests that arrive before warmUp are not measured; drain is the time after the
// end of the trace in which requests may still finish.
const (
	warmUp = 60 * time.Second
	drain  = 320 * time.Second
)

// epoch is the wall-clock time at which the virtual clock of every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// arrival is one request of a trace.
type arrival struct {
	at       time.Duration
	instance int
	request  request.Request
	mix      int
}

// newTrace generates the requests of a site at a load that is a fraction of its
// capacity. The same seed gives the same requests for every policy.
func newTrace(site *Site, load float64, length time.Duration, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 0x7ace))
	perSecond := load * site.capacity() / site.meanTokens()
	var trace []arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / perSecond
		if at >= length.Seconds() {
			return trace
		}
		a := arrival{at: time.Duration(at * float64(time.Second)), instance: random.IntN(site.Instances)}
		a.mix = drawMix(random, site)
		a.request = drawRequest(random, site, a.mix)
		a.request.ID = strconv.Itoa(len(trace))
		a.setTimes()
		trace = append(trace, a)
	}
}

func (a *arrival) setTimes() {
	deadline := a.request.Deadline.Sub(time.Time{})
	a.request.Arrival = epoch.Add(a.at)
	a.request.Deadline = a.request.Arrival.Add(deadline)
}

func drawMix(random *rand.Rand, site *Site) int {
	u := random.Float64()
	for i := range site.Mix {
		u -= site.Mix[i].Share
		if u < 0 {
			return i
		}
	}
	return len(site.Mix) - 1
}

func drawRequest(random *rand.Rand, site *Site, mix int) request.Request {
	m := &site.Mix[mix]
	tokens := logUniform(random, m.Shortest, m.Longest)
	r := request.Request{
		Kind:         request.Prompt,
		Organisation: drawOrganisation(random, site),
		Class:        m.Class,
		Target:       model,
		PromptTokens: tokens,
		OutputTokens: m.Output[0] + random.IntN(m.Output[1]-m.Output[0]+1),
		Deadline:     time.Time{}.Add(m.Deadline),
		Long:         tokens > maxShortTokens,
		Priority:     m.Priority,
	}
	if random.Float64() < m.SharedPrefix {
		r.PrefixTokens = tokens / 2
		r.PrefixHash = prefixHash(random, r.Organisation, r.PrefixTokens)
	}
	return r
}

// prefixesPerOrganisation is the number of shared prompt prefixes per organisation.
const prefixesPerOrganisation = 8

// prefixHash returns the hash of a randomly chosen shared prefix. Prefixes of
// different lengths have different hashes, so lengths are rounded down to powers of
// two, which lets prompts of similar length share a prefix.
func prefixHash(random *rand.Rand, organisation string, tokens int) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(organisation) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	h ^= uint64(random.IntN(prefixesPerOrganisation)) << 8
	return h*31 + uint64(math.Log2(float64(tokens)))
}

func drawOrganisation(random *rand.Rand, site *Site) string {
	total := 0.0
	for _, o := range site.Organisations {
		total += o.Demand
	}
	u := random.Float64() * total
	for _, o := range site.Organisations {
		u -= o.Demand
		if u < 0 {
			return o.Name
		}
	}
	return site.Organisations[0].Name
}

func logUniform(random *rand.Rand, low, high int) int {
	span := math.Log(float64(high) / float64(low))
	return int(float64(low) * math.Exp(random.Float64()*span))
}

// meanTokens returns the mean prompt length of the mix.
func (s *Site) meanTokens() float64 {
	mean := 0.0
	for _, m := range s.Mix {
		span := math.Log(float64(m.Longest) / float64(m.Shortest))
		mean += m.Share * float64(m.Longest-m.Shortest) / span
	}
	return mean
}

// shortOnly returns the short requests of a trace.
func shortOnly(trace []arrival) []arrival {
	var short []arrival
	for _, a := range trace {
		if !a.request.Long {
			short = append(short, a)
		}
	}
	return short
}
