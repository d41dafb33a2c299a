package quota

// Mix is prompt tokens per second, classified by how prompts interact with the long lane.
type Mix struct {
	Small  float64 `json:"small,omitempty"`  // must be kept away from long prompts
	Middle float64 `json:"middle,omitempty"` // short, but tolerate long prompts on the same engine
	Long   float64 `json:"long,omitempty"`   // use the long lane
}

// Plus returns the sum of two mixes.
func (m Mix) Plus(o Mix) Mix {
	return Mix{Small: m.Small + o.Small, Middle: m.Middle + o.Middle, Long: m.Long + o.Long}
}

// Total is the sum of the parts.
func (m Mix) Total() float64 { return m.Small + m.Middle + m.Long }

// Times returns the mix multiplied by a factor.
func (m Mix) Times(factor float64) Mix {
	return Mix{Small: m.Small * factor, Middle: m.Middle * factor, Long: m.Long * factor}
}
