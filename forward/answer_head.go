package forward

import (
	"io"

	"github.com/cockroachdb/errors"

	"celeryport/httpwire"
)

// maxStrayAnswers bounds how many answers of other calls are skipped before this call's answer.
// An upstream may send an answer twice, the second time late.
const maxStrayAnswers = 3

// maxStrayBytes bounds their bodies together, in bytes.
const maxStrayBytes = 1 << 20

// readHead reads the head of this call's answer.
func (s *sending) readHead() (*httpwire.ResponseHead, Answer, error) {
	strays := int64(maxStrayBytes)
	for range maxStrayAnswers {
		head, err := httpwire.ReadResponseHead(s.conn.reader, defaultHeaderBytes, s.x.call.Method)
		if err != nil {
			return nil, Answer{}, err
		}
		s.x.server.fleet.paths.RecordAnswer(s.x.service.Name)
		answer := s.x.server.options.Dialect.DecodeAnswer(head)
		s.x.server.fleet.applyStatements(s.node, &answer)
		if answer.CallID == s.x.call.ID || answer.CallID == "" && (answer.NotRun || answer.WrongIncarnation) {
			s.x.server.fleet.recordAccepted(s.node, &answer, s.sentAt)
			return head, answer, nil
		}
		skipped, err := io.CopyN(io.Discard, httpwire.NewBody(s.conn.reader, head.Body), strays)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, Answer{}, err
		}
		if strays -= skipped; strays <= 0 {
			break
		}
	}
	return nil, Answer{}, errStray
}
