package connlimit

import "testing"

// Guards against connections of others that take the descriptors for files and own connections.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	for _, descriptors := range []int{64, 256, 1024, 4100, 20000, 1 << 20} {
		for _, takesCalls := range []bool{false, true} {
			l := Divide(descriptors, 0, takesCalls)
			accepted := l.Callers + l.Control + l.Directory + 2*l.Probes
			if left := descriptors - accepted; left < descriptors/8 || l.Control == 0 || l.Probes == 0 || takesCalls != (l.Callers > 0) {
				t.Errorf("%d descriptors, takes calls %t: %+v leaves %d", descriptors, takesCalls, l, left)
			}
		}
	}
	if got := Divide(4100, 100, true); got.Callers != 100 {
		t.Errorf("the operator's limit of 100: %+v", got)
	}
	if got := Divide(0, 100, true); got != (Limits{Callers: 100}) {
		t.Errorf("unknown: %+v", got)
	}
}

// Guards against connections that are allowed beyond the limit of the kernel or of the deployment.
func TestSmallerNumberOfDescriptorsDecides(t *testing.T) {
	for _, test := range []struct {
		stated int
		kernel int64
		want   int
		source Source
	}{
		{0, 0, 0, SourceNone},
		{4100, 0, 4100, SourceSettings},
		{0, 1024, 1024, SourceKernel},
		{4100, 20000, 4100, SourceSettings},
		{4100, 1024, 1024, SourceKernel},
	} {
		if got, source := Smaller(test.stated, test.kernel); got != test.want || source != test.source {
			t.Errorf("%d, %d: %d, %s", test.stated, test.kernel, got, source)
		}
	}
}
