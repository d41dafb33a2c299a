package forward

import (
	"bufio"

	"celeryport/httpwire"
)

// body returns the body of an answer. Instances frame their answers: the kernel closes the connections of one that was
// killed like one that has ended its answer.
func (t *transitSend) body(head *httpwire.ResponseHead, reader *bufio.Reader) *httpwire.Body {
	body := meteredBody(reader, head, &t.meter)
	body.MustFrame = true
	return body
}
