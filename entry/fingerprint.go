package entry

import (
	"celeryport/quarantine"
	"celeryport/request"
)

// fingerprint returns what is equal in all requests by which a caller repeats one.
func fingerprint(r *request.Request, path string, body []byte) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.ScopeOf(r.Target, path, r.Organisation), body)
}
