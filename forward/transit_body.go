package forward

import (
	"bufio"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
	"celeryport/verdict"
)

// body returns the body of an answer. Instances frame their answers: the kernel closes the connections of one that was
// killed like one that has ended its answer.
func (t *transitSend) body(head *httpwire.ResponseHead, reader *bufio.Reader) *httpwire.Body {
	body := meteredBody(reader, head, &t.meter)
	body.MustFrame = true
	return body
}

// broken returns the outcome of a send whose answer ended too early or can't be read.
func (t *transitSend) broken(err error) *outcome {
	return &outcome{verdict: verdict.MayHaveRun, err: errors.Wrap(err, "read the answer of another instance"), reached: true}
}
