package capacity

import "celeryport/slopes"

// Spread is a fitted line, how far a measured point lay from it, and how far the
// target lies beyond the largest measured size.
type Spread struct {
	Name, Size, Base, Slope, Residual string
	Beyond                            float64 // target / largest measured size
}

// Spreads lists the lines that the page rests on.
func (m *Model) Spreads() []Spread {
	s := &m.control.Slopes
	byInstances := m.target.Instances / float64(m.control.Instances[len(m.control.Instances)-1].Instances)
	byUpstreams := m.target.Upstreams / float64(m.control.Upstreams[len(m.control.Upstreams)-1].Upstreams)
	return []Spread{
		spread("leader, bytes", "instance", s.LeaderBytesPerInstance, BytesPerSecond, byInstances),
		spread("whole fleet, CPU", "instance", s.CPUPerInstance, Cores, byInstances),
		spread("leader, bytes, 8 instances", "upstream", s.LeaderBytesPerUpstream, BytesPerSecond, byUpstreams),
		spread("instance, bytes", "upstream", s.InstanceBytesPerUpstream, BytesPerSecond, byUpstreams),
		spread("instance, CPU", "upstream", s.CPUPerUpstream, Cores, byUpstreams),
		spread("instance, heap", "upstream", s.HeapPerUpstream, Bytes, byUpstreams),
	}
}

func spread(name, size string, f slopes.Fit, u Unit, beyond float64) Spread {
	return Spread{name, size, u.format(f.Base), u.format(f.Slope), u.format(f.Residual), beyond}
}
