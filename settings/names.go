package settings

import "regexp"

// Patterns of text values.
var (
	branchPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*(\.[a-z0-9][a-z0-9-]*)*$`)
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	anyPattern    = regexp.MustCompile(`^.*$`)
)

const (
	branchAllowed = "lower-case letters, digits and hyphens, with dots between the branches"
	nameAllowed   = "letters, digits, dots, underscores and hyphens"
	digestAllowed = "the SHA-256 of a key in 64 lower-case hex digits, see celeryport settings hash-key"
)

func branchName() value[string] { return text(branchAllowed, branchPattern) }

func plainName() value[string] { return text(nameAllowed, namePattern) }

func digest() value[string] { return text(digestAllowed, digestPattern) }
