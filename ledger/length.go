package ledger

// Length is a bucket of prompt lengths by which latencies are grouped. The buckets
// are fixed, so that reports stay comparable when settings change.
type Length uint8

// The length buckets.
const (
	LengthUpTo4k Length = iota
	LengthUpTo16k
	LengthUpTo100k
	LengthUpTo400k
	LengthOver400k
	lengths = iota
)

// lengthBounds are the inclusive upper bounds, in prompt tokens, of all buckets
// but the last.
var lengthBounds = [...]int{4_000, 16_000, 100_000, 400_000}

var lengthNames = [...]string{"1-4k", "4-16k", "16-100k", "100k-400k", "over 400k"}

// LengthOf returns the bucket of a prompt by its number of tokens.
func LengthOf(promptTokens int) Length {
	for i, bound := range lengthBounds {
		if promptTokens <= bound {
			return Length(i)
		}
	}
	return LengthOver400k
}

// String returns the name of the bucket.
func (l Length) String() string {
	if int(l) >= len(lengthNames) {
		return "other"
	}
	return lengthNames[l]
}

// MarshalText implements encoding.TextMarshaler.
func (l Length) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *Length) UnmarshalText(text []byte) error {
	for i, name := range lengthNames {
		if name == string(text) {
			*l = Length(i)
			return nil
		}
	}
	*l = lengths
	return nil
}
