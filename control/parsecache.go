package control

import (
	"sync"

	"celeryport/control/state"
	"celeryport/pack"
	"celeryport/settings"
)

// parseCache parses settings texts, compressed or not, and caches the latest result: a
// leader checks a text before it is accepted and installs it right afterwards, and parsing
// a text with many routes is slow on a small share of a processor.
type parseCache struct {
	read   func(file string, text []byte) (*settings.Tree, error)
	mu     sync.Mutex
	digest string
	tree   *settings.Tree
}

// parse returns the tree of a text. The returned tree is a shallow copy, in which the
// caller may set the revision.
func (p *parseCache) parse(file string, data []byte) (*settings.Tree, error) {
	digest := state.Digest(data)
	p.mu.Lock()
	known := p.tree
	if p.digest != digest {
		known = nil
	}
	p.mu.Unlock()
	if known == nil {
		text, err := pack.Unpack(data)
		if err != nil {
			return nil, err
		}
		if known, err = p.read(file, text); err != nil {
			return nil, err
		}
		p.mu.Lock()
		p.digest, p.tree = digest, known
		p.mu.Unlock()
	}
	tree := *known
	return &tree, nil
}
