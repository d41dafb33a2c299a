package bytebudget

// Bounds are the bounds on the memory of one process.
type Bounds struct {
	Bodies  int64 // bytes of the bodies of calls that are held at a time
	Answers int64 // bytes of the answers that are held as a whole at a time
	Process int64 // bytes from which the garbage collector runs more often; 0: no such bound

	GCPercent int // growth of the heap until the next collection, in percent of the live heap; 0: the default
}

const (
	// maxBodies and maxAnswers apply to machines with enough memory, and where it is unknown.
	maxBodies  = 24 << 20
	maxAnswers = 16 << 20
	// minBodies holds two bodies of the largest default size, and minAnswers one answer of the
	// largest size that is held as a whole: below it such an answer would never find room.
	minBodies  = 8 << 20
	minAnswers = 8 << 20

	// bodiesPart and answersPart are the fractions of the machine's memory for bodies and answers,
	// as divisors: together 28 % of the memory. The parts of the pool for short and small answers add
	// 3 %. A body is held twice while it grows. From 144 MB of memory on, the constants above apply.
	bodiesPart  = 6
	answersPart = 9
	// processPercent is the soft limit of the process. The rest is for the kernel, its socket
	// buffers and the mapped pages of the binary, which the collector can't reduce.
	processPercent = 60

	// smallMachine is the memory below which the heap grows by smallGCPercent between collections
	// instead of by 100 %. That lowers the anonymous memory of an instance by a sixth and costs 1.4 %
	// of its processor time.
	smallMachine   = 1 << 30
	smallGCPercent = 50

	// minMachine and maxMachine bound the plausible sizes of a machine. Other values are read as
	// unknown.
	minMachine = 32 << 20
	maxMachine = 64 << 40
)

// BoundsFor returns the bounds for a process that may use the given memory in bytes. An implausible value
// counts as unknown.
func BoundsFor(machine int64) Bounds {
	if machine < minMachine || machine > maxMachine {
		return Bounds{Bodies: maxBodies, Answers: maxAnswers}
	}
	b := Bounds{
		Bodies:  min(maxBodies, max(minBodies, machine/bodiesPart)),
		Answers: min(maxAnswers, max(minAnswers, machine/answersPart)),
		Process: machine / 100 * processPercent,
	}
	if machine < smallMachine {
		b.GCPercent = smallGCPercent
	}
	if b.Process < 3*(b.Bodies+b.Answers)/2 {
		b.Process = 0 // the collector would run without end when all that may be held is held
	}
	return b
}
