package bytebudget

import "testing"

// Guards against bounds that follow a large host although the process has a smaller limit, and
// against trusting what the kernel reports where there is none.
func TestSmallestLimitDecides(t *testing.T) {
	const mb = 1 << 20
	for name, test := range map[string]struct {
		limits []Limit
		want   Limit
	}{
		"nothing known":         {nil, Limit{Source: SourceNone}},
		"stated":                {[]Limit{{SourceMachine, 33000 * mb}, {SourceSettings, 184 * mb}}, Limit{SourceSettings, 184 * mb}},
		"smaller machine":       {[]Limit{{SourceMachine, 136 * mb}, {SourceSettings, 184 * mb}}, Limit{SourceMachine, 136 * mb}},
		"not stated":            {[]Limit{{SourceMachine, 136 * mb}, {SourceSettings, 0}}, Limit{SourceMachine, 136 * mb}},
		"control group":         {[]Limit{{SourceMachine, 33000 * mb}, {SourceControlGroup, 256 * mb}}, Limit{SourceControlGroup, 256 * mb}},
		"no control group":      {[]Limit{{SourceMachine, 136 * mb}, {SourceControlGroup, 1<<63 - 4096}}, Limit{SourceMachine, 136 * mb}},
		"damaged":               {[]Limit{{SourceMachine, mb}, {SourceData, -1}}, Limit{Source: SourceNone}},
		"small limit on itself": {[]Limit{{SourceMachine, 136 * mb}, {SourceData, 20 * mb}}, Limit{SourceData, minMachine}},
	} {
		if got := Smallest(test.limits...); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}
