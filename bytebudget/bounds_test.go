package bytebudget

import "testing"

// Guards against bounds that exceed a small machine, that leave no room for the largest answer, or
// that grow beyond those of a large machine, and against trusting an implausible size.
func TestBoundsFollowTheMachine(t *testing.T) {
	const mb = 1 << 20
	for _, test := range []struct {
		machine int64
		want    Bounds
	}{
		{0, Bounds{Bodies: 24 * mb, Answers: 16 * mb}},
		{-1, Bounds{Bodies: 24 * mb, Answers: 16 * mb}},
		{mb, Bounds{Bodies: 24 * mb, Answers: 16 * mb}},
		{1 << 62, Bounds{Bodies: 24 * mb, Answers: 16 * mb}},
		{32 * mb, Bounds{Bodies: 8 * mb, Answers: 8 * mb, GCPercent: 50}},
		{90 * mb, Bounds{Bodies: 15 * mb, Answers: 10 * mb, Process: 54 * mb, GCPercent: 50}},
		{300 * mb, Bounds{Bodies: 24 * mb, Answers: 16 * mb, Process: 180 * mb, GCPercent: 50}},
		{2000 * mb, Bounds{Bodies: 24 * mb, Answers: 16 * mb, Process: 1200 * mb}},
	} {
		got := BoundsFor(test.machine)
		if drift := test.want.Process - got.Process; drift < 0 || drift > mb {
			t.Errorf("%d: soft limit %d, want about %d", test.machine, got.Process, test.want.Process)
		}
		if got.Process = test.want.Process; got != test.want {
			t.Errorf("%d: %+v, want %+v", test.machine, got, test.want)
		}
		if held := 2*got.Bodies + got.Answers; got.Process > 0 && held > got.Process {
			t.Errorf("%d: %d bytes may be held, more than the soft limit of %d", test.machine, held, got.Process)
		}
	}
}
