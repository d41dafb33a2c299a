package enginemodel

import "github.com/cockroachdb/errors"

// The reasons for which an engine does not take a job. Nothing was run.
var (
	// ErrTooLarge means that the job needs more memory than the engine has.
	ErrTooLarge = errors.New("job needs more memory than the engine has")
	// ErrDuplicate means that a job with the same id is on the engine.
	ErrDuplicate = errors.New("a job with this id is on the engine")
	// ErrInvalid means that the job could never run.
	ErrInvalid = errors.New("job without id, prompt or output")
)
