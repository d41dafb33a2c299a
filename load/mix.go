package load

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Mix is the work of one deployment.
type Mix struct {
	Name    string
	Model   string
	Service string
	Classes []Class
}

// Class is one class of work within a mix.
type Class struct {
	Name          string
	Weight        int // share of the requests, relative to the other classes
	Organisations []string
	Deadline      time.Duration
	Prompt        *PromptShape // nil: a service call
	Call          *CallShape   // nil: a prompt
}

// PromptShape describes the prompts of a class.
type PromptShape struct {
	LeastTokens  int
	MostTokens   int
	AnswerTokens int // most tokens of the answer
	Subjects     int // prompts of one subject share their beginning
}

// CallShape describes the service calls of a class.
type CallShape struct {
	Path     string // below the service
	NoRepeat bool
}

// ErrUnknownMix means that there is no mix of the name.
var ErrUnknownMix = errors.New("unknown mix")

// ErrNoOrganisation means that no key was given for any organisation of a mix.
var ErrNoOrganisation = errors.New("the keys hold no organisation of this mix")

// FindMix returns the mix of the name.
func FindMix(name string) (Mix, error) {
	for _, m := range []Mix{Aretusa(), Brazos()} {
		if m.Name == name {
			return m, nil
		}
	}
	return Mix{}, errors.Wrapf(ErrUnknownMix, "%q", name)
}

// Restrict keeps the organisations whose keys are given, and the classes that
// any of them uses.
func (m Mix) Restrict(keys Keys) (Mix, error) {
	var kept []Class
	for _, class := range m.Classes {
		var organisations []string
		for _, name := range class.Organisations {
			if keys[name] != "" {
				organisations = append(organisations, name)
			}
		}
		class.Organisations = organisations
		if len(organisations) > 0 {
			kept = append(kept, class)
		}
	}
	if len(kept) == 0 {
		return Mix{}, errors.Wrapf(ErrNoOrganisation, "%q", m.Name)
	}
	m.Classes = kept
	return m, nil
}

// Select keeps the classes of the names; none keeps all.
func (m Mix) Select(names []string) (Mix, error) {
	if len(names) == 0 {
		return m, nil
	}
	var kept []Class
	for _, name := range names {
		class, found := m.class(name)
		if !found {
			return Mix{}, errors.Wrapf(ErrUnknownMix, "class %q of %q", name, m.Name)
		}
		kept = append(kept, class)
	}
	m.Classes = kept
	return m, nil
}

func (m Mix) class(name string) (Class, bool) {
	for _, class := range m.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}
