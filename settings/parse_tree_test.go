package settings

import (
	"strings"
	"testing"
	"time"
)

const smallTree = `
; weight = """3""" is a comment
[organisation]
tokens_per_second = 50k
classes = counter, pattern

[organisation.atelier]
weight = 2
key_sha256 = e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855

[organisation.atelier.siracusa]
weight = 3

[organisation.archivio]
tokens_per_second = 1.5M

[class]
deadline = 20s

[class.counter]
priority = 9
first_token = 300ms

[class.counter.hold]
no_repeat = true

[class.pattern]
deadline = 5m

[class.secret]

[rule.night]
class = counter
priority = 1

[rule.night.atelier]
organisation = atelier
priority = 4
prompt_tokens = 8k

[length.long]
up_to = 1M
long = true

[length.short]
up_to = 4k

[model.sarto-1.5]
adapters = taglio, prova

[service.cassa-bottega]
no_repeat = true

[fleet]
default_class = pattern
body_limit = 8MB
`

func parseSmallTree(t *testing.T) *Tree {
	t.Helper()
	tree, err := ParseTree("small.ini", []byte(smallTree))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

func TestResolveInheritsAndOverrides(t *testing.T) {
	tree := parseSmallTree(t)
	cases := []struct {
		organisation, class string
		priority            int
		deadline            time.Duration
		weight, rate        float64
		promptTokens        int
		noRepeat            bool
	}{
		{"archivio", "counter", 1, 20 * time.Second, 1, 1.5e6, 0, false},
		{"atelier", "counter", 4, 20 * time.Second, 2, 50e3, 8000, false},
		{"atelier.siracusa", "counter.hold", 4, 20 * time.Second, 3, 50e3, 8000, true},
		{"atelier.siracusa", "", 0, 5 * time.Minute, 3, 50e3, 0, false},
	}
	for _, c := range cases {
		got, err := tree.Resolve(c.organisation, c.class)
		if err != nil {
			t.Fatal(err)
		}
		if got.Priority != c.priority || got.Deadline != c.deadline || got.Weight != c.weight ||
			got.Limits.TokensPerSecond != c.rate || got.Limits.PromptTokens != c.promptTokens || got.NoRepeat != c.noRepeat {
			t.Errorf("%s %s: %+v", c.organisation, c.class, got)
		}
	}
}

func TestResolveRejectsUnknownAndForbiddenNames(t *testing.T) {
	tree := parseSmallTree(t)
	for _, c := range [][2]string{{"nobody", "counter"}, {"atelier", "nothing"}, {"atelier", "secret"}} {
		if _, err := tree.Resolve(c[0], c[1]); err == nil {
			t.Errorf("%v: resolved without an error", c)
		}
	}
}

func TestLookups(t *testing.T) {
	tree := parseSmallTree(t)
	for tokens, name := range map[int]string{1: "short", 4000: "short", 4001: "long", 2_000_000: "long"} {
		if got := tree.Length(tokens).Name; got != name {
			t.Errorf("%d tokens: length class %s", tokens, got)
		}
	}
	if m, ok := tree.Model("sarto-1.5"); !ok || len(m.Adapters) != 2 {
		t.Errorf("model: %+v", m)
	}
	if s, ok := tree.Service("cassa-bottega"); !ok || !s.NoRepeat {
		t.Errorf("service: %+v", s)
	}
	if tree.Fleet.BodyLimit != 8_000_000 {
		t.Errorf("body limit %d", tree.Fleet.BodyLimit)
	}
}

func TestAuthenticateOnlyByTheOrganisationsOwnKey(t *testing.T) {
	tree := parseSmallTree(t)
	// The digest in the tree is that of the empty string.
	if name, ok := tree.Authenticate(""); !ok || name != "atelier" {
		t.Errorf("got %q %v", name, ok)
	}
	if name, ok := tree.Authenticate("wrong"); ok {
		t.Errorf("an unknown key authenticates as %q", name)
	}
}

func FuzzParseTree(f *testing.F) {
	f.Add([]byte(smallTree))
	f.Add([]byte("[organisation.a]\n[class.b]\ndeadline = 1e9h\n[length.c]\nup_to = 9223372036854775807M"))
	f.Add([]byte("[class.a.b.c]\n[class.a]\n[class]\nweight = NaN\n[a]\n[a]\n=\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, err := ParseTree("fuzz.ini", text)
		if (tree == nil) == (err == nil) {
			t.Fatal("want either a tree or faults")
		}
		if err == nil {
			checkEveryPair(t, tree)
			return
		}
		if strings.TrimSpace(err.Error()) == "" {
			t.Fatal("fault without text")
		}
	})
}

func checkEveryPair(t *testing.T, tree *Tree) {
	for _, o := range tree.Organisations {
		for _, c := range tree.Classes {
			r, err := tree.Resolve(o.Name, c.Name)
			if err == nil && (r.Deadline <= 0 || r.Weight <= 0) {
				t.Fatalf("%s %s: %+v", o.Name, c.Name, r)
			}
		}
	}
}
