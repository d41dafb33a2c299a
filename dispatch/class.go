package dispatch

// class is what the scheduler keeps of one class of work.
type class struct {
	name       string
	queueLimit int
	configured bool // queueLimit is of the settings, where 0 means that none waits
	waiting    int
}
