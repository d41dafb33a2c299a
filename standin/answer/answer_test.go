package answer

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func TestCheckClassifiesWrongAnswers(t *testing.T) {
	right := For("fitting history", 40)
	for _, test := range []struct {
		name string
		text string
		want error
	}{
		{"whole", right, nil},
		{"short", right[:TokenBytes*39], ErrShort},
		{"empty", "", ErrShort},
		{"doubled", right + right, ErrDoubled},
		{"answer to another prompt", For("ledger", 40), ErrWrong},
		{"second half of another answer", right[:TokenBytes*20] + For("ledger", 40)[TokenBytes*20:], ErrWrong},
		{"a token missing in the middle", right[:TokenBytes*5] + right[TokenBytes*6:], ErrWrong},
	} {
		if got := Check("fitting history", 40, test.text); !errors.Is(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

func TestAnswerCanBeBuiltInParts(t *testing.T) {
	whole := For("p", 30)
	parts := Append(Append(nil, Hash("p"), 0, 13), Hash("p"), 13, 30)
	if string(parts) != whole || len(whole) != 30*TokenBytes {
		t.Errorf("the parts give %q, the whole answer is %q", parts, whole)
	}
}
