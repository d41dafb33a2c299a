package dispatch

// class holds the queue state of one class of work.
type class struct {
	name       string
	queueLimit int
	configured bool // queueLimit comes from the settings, where 0 forbids queueing
	waiting    int
}
