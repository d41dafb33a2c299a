package verdict

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func TestZeroValueIsCareful(t *testing.T) {
	var v Verdict
	if v != MayHaveRun {
		t.Fatalf("zero verdict is %v", v)
	}
}

func TestParseInvertsString(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if got := Parse(v.String()); got != v {
			t.Errorf("Parse(%q) = %v", v.String(), got)
		}
	}
	if Parse("NOT-RUN") != MayHaveRun {
		t.Error("an unknown value was parsed as NotRun")
	}
}

func TestFromKeepsTheVerdictThroughWrapping(t *testing.T) {
	inner := Refuse(ReasonShare, 0, "full")
	err := errors.Wrap(errors.Wrap(inner, "queue"), "entry")
	if got := From(err); got != inner {
		t.Fatalf("From did not return the wrapped error: %v", got)
	}
	if got := From(errors.New("plain")); got.Verdict != MayHaveRun || got.Reason != ReasonInternal {
		t.Fatalf("a plain error became %v", got)
	}
}
