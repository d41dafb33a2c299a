package entry

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"celeryport/membership"
	"celeryport/settings"
	"celeryport/upstream"
	"celeryport/upstream/wire"
	"celeryport/verdict"
)

const (
	maxAnnouncementBytes = 256 << 10
	maxAnnounceAddresses = 3 // listed in the answer to an announcement
	maxNameBytes         = 128
	maxAnnouncedItems    = 256 // targets or adapters
)

// announce serves POST /v1/announce, which upstreams call.
func (s *Server) announce(ctx *fasthttp.RequestCtx, _ string) {
	if !settings.MatchKey(bearerKey(ctx), s.options.Process.UpstreamKeys) {
		writeError(ctx, verdict.Refuse(verdict.ReasonUnauthorized, 0, "unknown upstream key"), nil)
		return
	}
	raw, releaseBody, err := s.readBody(ctx, maxAnnouncementBytes)
	if err != nil {
		writeError(ctx, err, nil)
		return
	}
	defer releaseBody()
	announcement, err := parseAnnouncement(raw)
	if err != nil {
		writeError(ctx, err, nil)
		return
	}
	s.options.Plane.Announce(*announcement)
	writeJSON(ctx, wire.AnnounceResponse{Addresses: s.announceAddresses()})
}

// parseAnnouncement decodes and validates an announcement, because announcements
// come from outside and are distributed to every instance.
func parseAnnouncement(raw []byte) (*upstream.Announcement, *verdict.Error) {
	var a upstream.Announcement
	if err := json.Unmarshal(raw, &a); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "the body is no announcement")
	}
	switch {
	case a.Name == "" || len(a.Name) > maxNameBytes:
		return nil, invalidAnnouncement("name")
	case a.Address == "" || len(a.Address) > maxNameBytes:
		return nil, invalidAnnouncement("address")
	case a.Incarnation == 0 || a.Sequence == 0:
		return nil, invalidAnnouncement("incarnation and sequence")
	case len(a.Targets) == 0 || len(a.Targets) > maxAnnouncedItems || len(a.Adapters) > maxAnnouncedItems:
		return nil, invalidAnnouncement("targets")
	case a.Kind == upstream.Engine && a.MemoryTokens <= 0:
		return nil, invalidAnnouncement("memory_tokens")
	case a.Load.PrefillRate < 0 || a.Load.Age < 0 || a.Load.QueuedPrefill < 0 || a.Load.HeldTokens < 0:
		return nil, invalidAnnouncement("load")
	}
	return &a, nil
}

func invalidAnnouncement(field string) *verdict.Error {
	return verdict.Refuse(verdict.ReasonBadRequest, 0, "%s missing or out of range", field)
}

// announceAddresses lists some live instances to which the upstream can announce
// itself, this one first.
func (s *Server) announceAddresses() []string {
	addresses := []string{*s.address.Load()}
	for _, i := range s.options.Plane.View().Instances {
		if i.State == membership.Live && i.Address != addresses[0] && len(addresses) < maxAnnounceAddresses {
			addresses = append(addresses, i.Address)
		}
	}
	return addresses
}
