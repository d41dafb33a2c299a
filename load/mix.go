package load

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Mix describes the requests of one deployment.
type Mix struct {
	Name    string
	Model   string
	Service string
	Classes []Class
}

// Class is one class of requests within a mix.
type Class struct {
	Name          string
	Weight        int // relative number of requests, compared with the other classes
	Organisations []string
	Deadline      time.Duration
	Prompt        *PromptShape // nil: a service call
	Call          *CallShape   // nil: a prompt
}

// PromptShape describes the prompts of a class.
type PromptShape struct {
	MinTokens    int
	MaxTokens    int
	AnswerTokens int // maximum tokens of the answer
	Subjects     int // number of shared prefixes among the prompts of the class
}

// CallShape describes the service calls of a class.
type CallShape struct {
	Path     string // relative to the path of the service
	NoRepeat bool
}

// ErrUnknownMix is returned for a name of a mix, or of a class in it, that does not
// exist.
var ErrUnknownMix = errors.New("unknown mix")

// ErrNoOrganisation is returned if there is no key for any organisation of a mix.
var ErrNoOrganisation = errors.New("the keys hold no organisation of this mix")

// FindMix returns the mix with the given name.
func FindMix(name string) (Mix, error) {
	for _, m := range []Mix{Aretusa(), Brazos()} {
		if m.Name == name {
			return m, nil
		}
	}
	return Mix{}, errors.Wrapf(ErrUnknownMix, "%q", name)
}

// Restrict returns the mix with only the organisations that have a key, and only the
// classes that at least one of them uses.
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

// Select returns the mix with only the named classes, or with all if names is empty.
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
