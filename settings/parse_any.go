package settings

// Kind tells the two kinds of settings files apart.
type Kind uint8

const (
	// KindTree is the operators' tree.
	KindTree Kind = iota
	// KindProcess is the settings of one process.
	KindProcess
)

// String names the kind as commands print it.
func (k Kind) String() string {
	if k == KindProcess {
		return "process"
	}
	return "tree"
}

// Check parses either kind of file and returns which one it is, with its
// faults. A file that has any section of a process file counts as one.
func Check(file string, text []byte) (Kind, error) {
	if detectKind(text) == KindProcess {
		_, err := ParseProcess(file, text)
		return KindProcess, err
	}
	_, err := ParseTree(file, text)
	return KindTree, err
}

func detectKind(text []byte) Kind {
	sections, _ := readSections(text, &collector{})
	for _, sec := range sections {
		switch sec.kind() {
		case processSchema.kind, listenSchema.kind, controlSchema.kind, votersKind, keysSchema.kind:
			return KindProcess
		}
	}
	return KindTree
}
