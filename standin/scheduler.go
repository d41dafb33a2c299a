package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"celeryport/standin/enginemodel"
	"celeryport/upstream"
	"celeryport/upstream/wire"
)

// scheduler drives the engine model on the real clock and keeps the streams that
// run on it. It is safe for concurrent use.
type scheduler struct {
	scale        timeScale
	resumeWindow time.Duration
	ended        func(*stream, Ending) // told of each stream's beginning and, once, of its end, with the lock held
	readerLost   func(*stream)         // told of each lost reader, with the lock held

	mu      sync.Mutex
	model   *enginemodel.Engine
	streams map[string]*stream // by request id
	jobs    map[string]*stream // by id in the model, until it finished there
	wake    chan struct{}
}

// The reasons for which a request is not taken.
var (
	errStale    = errors.New("a later attempt of the request is on the engine")
	errMismatch = errors.New("the request on the engine has another prompt")
	errGone     = errors.New("no such stream to resume")
)

func newScheduler(o *EngineOptions, now time.Time, ended func(*stream, Ending), readerLost func(*stream)) *scheduler {
	scale := newTimeScale(now, o.TimeScale)
	return &scheduler{
		scale:        scale,
		resumeWindow: o.ResumeWindow,
		ended:        ended,
		readerLost:   readerLost,
		model:        enginemodel.New(o.Model, scale.model(now)),
		streams:      map[string]*stream{},
		jobs:         map[string]*stream{},
		wake:         make(chan struct{}, 1),
	}
}

// jobID names an attempt in the model.
func jobID(request string, attempt uint32) string {
	return request + "/" + strconv.FormatUint(uint64(attempt), 10)
}

// attach gives the request a reader: it resumes what is on the engine, or
// submits the job. It returns the number of the reader.
func (s *scheduler) attach(now time.Time, wanted *stream, job enginemodel.Job) (*stream, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.streams[wanted.request]; present != nil {
		return s.takeOver(now, present, wanted)
	}
	// Decided under the lock: a resume that finds its stream ended a moment ago
	// must not run the request a second time.
	if wanted.resume {
		return nil, 0, errGone
	}
	if err := s.model.Submit(s.scale.model(now), job); err != nil {
		return nil, 0, err
	}
	wanted.job = job.ID
	wanted.ready = job.Offset
	wanted.reader = 1
	wanted.changed = make(chan struct{})
	s.streams[wanted.request] = wanted
	s.jobs[job.ID] = wanted
	s.ended(wanted, Begun)
	s.poke()
	return wanted, wanted.reader, nil
}

func (s *scheduler) takeOver(now time.Time, present, wanted *stream) (*stream, uint64, error) {
	if wanted.attempt < present.attempt {
		return nil, 0, errStale
	}
	if wanted.hash != present.hash || wanted.maxTokens != present.maxTokens {
		return nil, 0, errMismatch
	}
	present.attempt = wanted.attempt
	present.owner = wanted.owner
	// The sweep of a dead owner must not end what another one has taken over.
	s.model.Adopt(s.scale.model(now), present.job, wanted.owner)
	present.deadline = wanted.deadline
	present.reader++
	present.unreadFrom = time.Time{}
	present.broadcast()
	return present, present.reader, nil
}

// detach says that the reader lost its connection.
func (s *scheduler) detach(now time.Time, st *stream, reader uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.ended != "" || st.reader != reader {
		return
	}
	st.unreadFrom = now
	s.readerLost(st)
	s.poke()
}

// view returns what the reader may send by now.
func (s *scheduler) view(st *stream, reader uint64) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	return view{
		ready:    st.ready,
		cached:   st.cached,
		finished: st.finished,
		ended:    st.ended,
		replaced: st.reader != reader,
		changed:  st.changed,
	}
}

// delivered says that the reader sent the final frame. Whether the frame arrived
// is not known, so the answer stays for the resume window; its memory in the model
// is free already.
func (s *scheduler) delivered(now time.Time, st *stream, reader uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.ended != "" || st.reader != reader {
		return
	}
	st.unreadFrom = now
	s.poke()
	if !st.delivered {
		st.delivered = true
		s.ended(st, EndedWhole)
	}
}

// cancel ends what the request names and returns how much that was.
func (s *scheduler) cancel(now time.Time, r *wire.CancelRequest) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.poke()
	at := s.scale.model(now)
	if r.Request == "" {
		return s.cancelOwner(at, r.Owner)
	}
	count := 0
	st := s.streams[r.Request]
	// A cancel that comes late must not end a later attempt of the request.
	if st != nil && st.attempt <= r.Attempt && (r.Owner == "" || r.Owner == st.owner) {
		s.model.Cancel(at, st.job)
		s.end(st, EndedCancelled)
		count++
	}
	if s.jobs[jobID(r.Request, r.Attempt)] == nil && s.model.Cancel(at, jobID(r.Request, r.Attempt)) {
		count = 1
	}
	return count
}

func (s *scheduler) cancelOwner(at time.Time, owner string) int {
	if owner == "" {
		return 0
	}
	count := 0
	for _, st := range s.streams {
		if st.owner == owner {
			s.model.Cancel(at, st.job)
			s.end(st, EndedCancelled)
			count++
		}
	}
	return count + s.model.CancelOwner(at, owner)
}

// end forgets a stream; its memory in the model must be free already or be
// freed by the caller.
func (s *scheduler) end(st *stream, how Ending) {
	st.ended = how
	delete(s.streams, st.request)
	delete(s.jobs, st.job)
	st.broadcast()
	if !st.delivered {
		s.ended(st, how)
	}
}

// reserve reserves, renews or frees a part of a span.
func (s *scheduler) reserve(now time.Time, r *wire.ReserveRequest) wire.ReserveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.poke()
	lease := s.scale.modelDuration(time.Duration(r.LeaseMs) * time.Millisecond)
	granted, free := s.model.Reserve(s.scale.model(now), jobID(r.Request, r.Attempt), r.Owner, r.Tokens, lease)
	return wire.ReserveResponse{Granted: granted, Free: free}
}

// report returns what an announcement says of the load.
func (s *scheduler) report(now time.Time) (upstream.Load, []upstream.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.scale.model(now)
	load := s.model.Load(at)
	load.Age = s.scale.realDuration(load.Age)
	load.PrefillRate *= s.scale.factor
	load.DecodeRate *= s.scale.factor
	return load, s.model.CacheEvents(at)
}

// busy reports whether any answer was not delivered.
func (s *scheduler) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		if !st.delivered {
			return true
		}
	}
	return false
}

// freeze stops or restarts the engine.
func (s *scheduler) freeze(now time.Time, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	speed := 1.0
	if frozen {
		speed = 0
	}
	s.model.SetSpeed(s.scale.model(now), speed)
	s.poke()
}

func (s *scheduler) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
