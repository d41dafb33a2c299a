package enginemodel

import "github.com/cockroachdb/errors"

// The reasons why an engine does not accept a job. The job was not run.
var (
	// ErrTooLarge means that the job needs more memory than the engine has.
	ErrTooLarge = errors.New("job needs more memory than the engine has")
	// ErrDuplicate means that the engine already has a job with the same id.
	ErrDuplicate = errors.New("a job with this id is on the engine")
	// ErrInvalid means that the parameters of the job are invalid.
	ErrInvalid = errors.New("job without id, prompt or output")
)
