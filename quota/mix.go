package quota

// Mix is prompt tokens a second by how prompts and the long lane get on.
type Mix struct {
	Small  float64 `json:"small,omitempty"`  // keep away from long prompts
	Middle float64 `json:"middle,omitempty"` // short, but stand long ones beside them
	Long   float64 `json:"long,omitempty"`   // use the long lane
}

// Plus returns the sum of two mixes.
func (m Mix) Plus(o Mix) Mix {
	return Mix{Small: m.Small + o.Small, Middle: m.Middle + o.Middle, Long: m.Long + o.Long}
}

// Total is the sum of the parts.
func (m Mix) Total() float64 { return m.Small + m.Middle + m.Long }

// Times scales the mix.
func (m Mix) Times(factor float64) Mix {
	return Mix{Small: m.Small * factor, Middle: m.Middle * factor, Long: m.Long * factor}
}
