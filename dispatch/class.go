package dispatch

// class is what the scheduler keeps of one class of work.
type class struct {
	name       string
	queueLimit int
	waiting    int
}
