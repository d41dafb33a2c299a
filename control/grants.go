package control

import (
	"time"

	"celeryport/quota"
)

// grants answers an instance's demands. Each organisation is granted without
// limits.
func (l *leader) grants(_ time.Time, instance string) []quota.Grant {
	var grants []quota.Grant
	for _, d := range l.demands[instance].demand {
		grants = append(grants, quota.Grant{Organisation: d.Organisation, Lease: l.core.timing.Membership.Lease})
	}
	return grants
}
