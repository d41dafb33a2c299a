package load

// bucket is a range of prompt lengths in tokens.
type bucket struct {
	name      string
	maxTokens int // inclusive; 0: no limit
}

// lengthBuckets returns the length buckets for engines with the given memory in
// tokens.
func lengthBuckets(engineMemory int) []bucket {
	return []bucket{
		{"1-4k", 4000},
		{"4-16k", 16_000},
		{"16-100k", 100_000},
		{"100-400k", engineMemory},
		{"over one engine", 0},
	}
}

func bucketOf(buckets []bucket, tokens int) int {
	for i, b := range buckets {
		if tokens <= b.maxTokens || b.maxTokens == 0 {
			return i
		}
	}
	return len(buckets) - 1
}
