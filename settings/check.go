package settings

// Kind is a kind of settings file.
type Kind uint8

const (
	// KindTree is a fleet-wide settings tree.
	KindTree Kind = iota
	// KindProcess is a file with the settings of one process.
	KindProcess
)

// String returns the name of the kind that commands print.
func (k Kind) String() string {
	if k == KindProcess {
		return "process"
	}
	return "tree"
}

// Check detects the kind of a settings file and validates it. A file that has any
// section of a process file is a process file.
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
