package rpc

import (
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"celeryport/verdict"
)

// Metadata keys of a twirp error that carries a verdict.
const (
	metaVerdict = "verdict"
	metaReason  = "reason"
	metaRetry   = "retry_after_ms"
)

// ToTwirp converts an error of a handler to a twirp error that carries its verdict
// to the caller.
func ToTwirp(err error) error {
	found := verdict.From(err)
	if found == nil {
		return nil
	}
	return twirp.NewError(twirp.Unavailable, found.Error()).
		WithMeta(metaVerdict, found.Verdict.String()).
		WithMeta(metaReason, string(found.Reason)).
		WithMeta(metaRetry, strconv.FormatInt(found.RetryAfter.Milliseconds(), 10))
}

// FromTwirp converts the error of a call to one with a verdict: the verdict of the
// remote handler if there is one, NotRun if the key was rejected or no connection
// was established, and otherwise MayHaveRun, because the request may have arrived
// and only the answer been lost.
func FromTwirp(err error) error {
	if err == nil {
		return nil
	}
	if remote, ok := fromMeta(err); ok {
		return remote
	}
	if isUnauthenticated(err) {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonUnauthorized, "the instance does not accept the key")
	}
	if notSent(err) {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonNoQuorum, "no connection to the instance")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonInternal, "the answer of the instance was lost")
}

func fromMeta(err error) (*verdict.Error, bool) {
	var remote twirp.Error
	if !errors.As(err, &remote) || remote.Meta(metaReason) == "" {
		return nil, false
	}
	v := verdict.Parse(remote.Meta(metaVerdict))
	found := verdict.New(v, verdict.Reason(remote.Meta(metaReason)), "%s", remote.Msg())
	if ms, convErr := strconv.ParseInt(remote.Meta(metaRetry), 10, 64); convErr == nil {
		found.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return found, true
}

// notSent reports whether the call failed while dialling, so that no byte of it can
// have arrived.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func isUnauthenticated(err error) bool {
	var remote twirp.Error
	return errors.As(err, &remote) && remote.Code() == twirp.Unauthenticated
}
