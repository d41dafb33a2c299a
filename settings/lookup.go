package settings

// Length returns the length class of a prompt with the given number of tokens.
// Prompts beyond the bound of the longest class belong to it; without length
// classes the result is the zero Length.
func (t *Tree) Length(tokens int) Length {
	for _, l := range t.Lengths {
		if tokens <= l.UpTo {
			return l
		}
	}
	if len(t.Lengths) == 0 {
		return Length{}
	}
	return t.Lengths[len(t.Lengths)-1]
}

// Model returns the named model.
func (t *Tree) Model(name string) (Model, bool) {
	for _, m := range t.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the named plain service.
func (t *Tree) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

func (t *Tree) organisation(name string) *Organisation {
	for i := range t.Organisations {
		if t.Organisations[i].Name == name {
			return &t.Organisations[i]
		}
	}
	return nil
}

func (t *Tree) class(name string) *Class {
	for i := range t.Classes {
		if t.Classes[i].Name == name {
			return &t.Classes[i]
		}
	}
	return nil
}
