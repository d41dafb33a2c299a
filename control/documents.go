package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/control/state"
	"celeryport/pack"
	"celeryport/verdict"
)

// The commands for documents, which instances send to each other.
const (
	commandPutDocument  = "document.put"
	commandReadDocument = "document.read"
)

// PutDocument proposes a document through the current leader. The outcome is Accepted or
// Superseded. After an error with the verdict MayHaveRun the outcome is unknown; the same
// document may be put again.
func (n *Node) PutDocument(ctx context.Context, version uint64, text []byte) (state.Outcome, error) {
	packed, err := pack.Text(text)
	if err != nil {
		return state.Outcome{}, err
	}
	body, err := encode(state.PutDocument{Version: version, Text: packed})
	if err != nil {
		return state.Outcome{}, err
	}
	answer, err := n.handlers[commandPutDocument](ctx, body)
	if err != nil {
		return state.Outcome{}, err
	}
	var outcome state.Outcome
	return outcome, json.Unmarshal(answer, &outcome)
}

// ReadAccepted returns the latest accepted document, confirmed by a majority of the voters
// after the call began. It returns an error rather than an outdated document.
func (n *Node) ReadAccepted(ctx context.Context) (*Accepted, error) {
	answer, err := n.handlers[commandReadDocument](ctx, nil)
	if err != nil {
		return nil, err
	}
	var found Accepted
	if err := json.Unmarshal(answer, &found); err != nil {
		return nil, errors.Wrap(err, "decode an accepted document")
	}
	found.Text, err = pack.Unpack(found.Text)
	return &found, err
}

// putDocument is the handler of commandPutDocument.
func (n *Node) putDocument(ctx context.Context, body []byte) ([]byte, error) {
	document, err := decode[state.PutDocument](body)
	if err != nil {
		return nil, err
	}
	if _, err := n.parsed.parse("document", document.Text); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "the document is faulty")
	}
	done := make(chan proposalResult, 1)
	command := state.Command{Document: document}
	err = n.whileLeading(ctx, func(now time.Time, g *group) error {
		command.At = now.Round(0).UTC()
		g.propose(now, &command, done)
		return nil
	})
	if err != nil {
		return nil, err
	}
	outcome, err := n.awaitProposal(ctx, done)
	if err != nil {
		return nil, err
	}
	return encode(outcome)
}

// readDocument is the handler of commandReadDocument.
func (n *Node) readDocument(ctx context.Context, _ []byte) ([]byte, error) {
	found, err := n.readAccepted(ctx)
	if err != nil {
		return nil, err
	}
	return encode(found)
}
