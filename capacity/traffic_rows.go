package capacity

import "fmt"

// TrafficRows are what an entry instance spends on the requests themselves. The
// letter's limits are for control and don't bind them. Elapsed times stand for
// processor time; they hold the caller's and the engine's part too.
func (m *Model) TrafficRows() []Row {
	return []Row{m.trafficRequests(), m.trafficTokens(), m.trafficDecisions(), m.trafficCounting(), m.trafficInFlight()}
}

func (m *Model) trafficRequests() Row {
	cost := m.requestSeconds()
	return Row{
		Role: Entry, Quantity: "requests", Value: m.requestsEach() * cost.at(m.target.PromptTokens), Unit: Cores, Carries: true,
		Formula: fmt.Sprintf("%s requests/s x (%s ms + %s ns x %s prompt tokens, assumed mean)", number(m.requestsEach()),
			number(1e3*cost.base), number(1e9*cost.slope), number(m.target.PromptTokens)),
		Mechanism: "`entry`, `dispatch`",
	}
}

func (m *Model) trafficTokens() Row {
	each, cost := m.target.TokensPerSecond/m.target.Instances, median(m.traffic.StreamedToken)
	return Row{
		Role: Entry, Quantity: "streamed tokens", Value: each * cost / 1e9, Unit: Cores, Carries: true,
		Formula:   fmt.Sprintf("%s tokens/s x %s ns", number(each), number(cost)),
		Mechanism: "`entry` streams, `upstream/client.Receiver`",
	}
}

func (m *Model) trafficDecisions() Row {
	cost := m.decisionNanoseconds()
	return Row{
		Role: Entry, Quantity: "decisions", Value: m.requestsEach() * cost / 1e9, Unit: Cores, Carries: true,
		Formula:   fmt.Sprintf("%s requests/s x %s ns at %s upstreams, without allocation", number(m.requestsEach()), number(cost), number(m.target.Upstreams)),
		Mechanism: "`dispatch`, `routing`",
	}
}

// decisionNanoseconds is the measurement at the first size that holds the target.
func (m *Model) decisionNanoseconds() float64 {
	for _, d := range m.traffic.Decisions {
		if d.Upstreams >= m.target.Upstreams {
			return median(d.Nanoseconds)
		}
	}
	return median(m.traffic.Decisions[len(m.traffic.Decisions)-1].Nanoseconds)
}

func (m *Model) trafficCounting() Row {
	cost := median(m.traffic.CountRequest)
	return Row{
		Role: Entry, Quantity: "counting", Value: m.requestsEach() * cost / 1e9, Unit: Cores, Carries: true,
		Formula:   fmt.Sprintf("%s requests/s x %s ns", number(m.requestsEach()), number(cost)),
		Mechanism: "`ledger.Account`",
	}
}

// trafficInFlight takes everything that a request allocates as held to its end,
// which is an upper bound.
func (m *Model) trafficInFlight() Row {
	last := &m.traffic.Requests[len(m.traffic.Requests)-1]
	perToken := median(last.Allocated) / last.PromptTokens
	return Row{
		Role: Entry, Quantity: "memory of requests in flight", Value: m.inFlightEach() * m.target.PromptTokens * perToken, Unit: Bytes, Carries: true,
		Formula: fmt.Sprintf("%s in flight x %s prompt tokens x at most %s allocated for each", number(m.inFlightEach()),
			number(m.target.PromptTokens), Bytes.format(perToken)),
		Mechanism: "`entry`; limits of bodies and connections in the process settings",
	}
}

// inFlightEach is the mean number of requests in flight on an instance, by
// Little's law, when the bounds of the letter are just met.
func (m *Model) inFlightEach() float64 {
	tokens := m.target.TokensPerSecond / m.target.RequestsPerSecond
	return m.requestsEach() * (m.target.FirstTokenSeconds + tokens*m.target.TokenGapSeconds)
}
