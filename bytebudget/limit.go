package bytebudget

// Limit is an upper bound on the memory of the process.
type Limit struct {
	Source Source
	Bytes  int64 // 0: unknown, or no limit
}

// Source is who sets a limit, as the log names it.
type Source string

// The sources of limits.
const (
	SourceNone         Source = "none"
	SourceSettings     Source = "settings"
	SourceMachine      Source = "machine"
	SourceAddressSpace Source = "RLIMIT_AS"
	SourceData         Source = "RLIMIT_DATA"
	SourceControlGroup Source = "control group"
)

// Smallest returns the limit that decides: the smallest one. The kernel reports very large
// numbers where there is no limit, and a damaged report may state any: a value that no machine
// has counts as unknown. A limit that is set on the process on purpose counts even if it is
// below the memory of every machine.
func Smallest(limits ...Limit) Limit {
	smallest := Limit{Source: SourceNone}
	for _, l := range limits {
		if l.Bytes <= 0 || l.Bytes > maxMachine || l.Source == SourceMachine && l.Bytes < minMachine {
			continue
		}
		if smallest.Bytes == 0 || l.Bytes < smallest.Bytes {
			smallest = Limit{Source: l.Source, Bytes: max(l.Bytes, minMachine)}
		}
	}
	return smallest
}
