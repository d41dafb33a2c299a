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

// scheduler runs the engine model on the real clock and holds the streams on it. It
// is safe for concurrent use.
type scheduler struct {
	scale        timeScale
	resumeWindow time.Duration
	onStartOrEnd func(*stream, Ending) // called at the start of each stream and once at its end, with the lock held
	onReaderLost func(*stream)         // called for each disconnected reader, with the lock held

	mu      sync.Mutex
	model   *enginemodel.Engine
	streams map[string]*stream // by request id
	jobs    map[string]*stream // by id in the model, until the job is finished there
	wake    chan struct{}
}

// The reasons for which the scheduler does not accept a request.
var (
	errStale    = errors.New("a later attempt of the request is on the engine")
	errMismatch = errors.New("the request on the engine has another prompt")
	errGone     = errors.New("no such stream to resume")
)

func newScheduler(o *EngineOptions, now time.Time, onStartOrEnd func(*stream, Ending), onReaderLost func(*stream)) *scheduler {
	scale := newTimeScale(now, o.TimeScale)
	return &scheduler{
		scale:        scale,
		resumeWindow: o.ResumeWindow,
		onStartOrEnd: onStartOrEnd,
		onReaderLost: onReaderLost,
		model:        enginemodel.New(o.Model, scale.model(now)),
		streams:      map[string]*stream{},
		jobs:         map[string]*stream{},
		wake:         make(chan struct{}, 1),
	}
}

// jobID returns the id of an attempt in the model.
func jobID(request string, attempt uint32) string {
	return request + "/" + strconv.FormatUint(uint64(attempt), 10)
}

// attach adds a reader for the request. It takes over the existing stream of the
// request, or submits the job. It returns the stream and the number of the reader.
func (s *scheduler) attach(now time.Time, requested *stream, job enginemodel.Job) (*stream, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.streams[requested.request]; current != nil {
		return s.takeOver(now, current, requested)
	}
	// This is checked under the lock: a resume whose stream has just ended must not
	// run the request a second time.
	if requested.resume {
		return nil, 0, errGone
	}
	if err := s.model.Submit(s.scale.model(now), job); err != nil {
		return nil, 0, err
	}
	requested.job = job.ID
	requested.ready = job.Offset
	requested.reader = 1
	requested.changed = make(chan struct{})
	s.streams[requested.request] = requested
	s.jobs[job.ID] = requested
	s.onStartOrEnd(requested, Begun)
	s.wakeUp()
	return requested, requested.reader, nil
}

func (s *scheduler) takeOver(now time.Time, current, requested *stream) (*stream, uint64, error) {
	if requested.attempt < current.attempt {
		return nil, 0, errStale
	}
	if requested.hash != current.hash || requested.maxTokens != current.maxTokens {
		return nil, 0, errMismatch
	}
	current.attempt = requested.attempt
	current.owner = requested.owner
	// The cleanup of a crashed owner's work must not cancel a stream that another owner
	// has taken over.
	s.model.Adopt(s.scale.model(now), current.job, requested.owner)
	current.deadline = requested.deadline
	current.reader++
	current.unreadSince = time.Time{}
	current.broadcast()
	return current, current.reader, nil
}

// detach records that the reader has disconnected.
func (s *scheduler) detach(now time.Time, st *stream, reader uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.ended != "" || st.reader != reader {
		return
	}
	st.unreadSince = now
	s.onReaderLost(st)
	s.wakeUp()
}

// view returns the current state of the stream for the reader.
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

// delivered records that the final frame was sent to the reader. Whether the frame
// arrived is unknown, so the answer is kept for the resume window; its memory in
// the model is already free.
func (s *scheduler) delivered(now time.Time, st *stream, reader uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.ended != "" || st.reader != reader {
		return
	}
	st.unreadSince = now
	s.wakeUp()
	if !st.delivered {
		st.delivered = true
		s.onStartOrEnd(st, EndedWhole)
	}
}

// cancel ends the work that r names, including reservations and exports, and returns
// how many items it ended.
func (s *scheduler) cancel(now time.Time, r *wire.CancelRequest) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	at := s.scale.model(now)
	if r.Request == "" {
		return s.cancelOwner(at, r.Owner)
	}
	count := 0
	st := s.streams[r.Request]
	// A delayed cancel must not end a later attempt of the request.
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

// end removes a stream. Its memory in the model must already be free, or the caller
// frees it.
func (s *scheduler) end(st *stream, how Ending) {
	st.ended = how
	delete(s.streams, st.request)
	delete(s.jobs, st.job)
	st.broadcast()
	if !st.delivered {
		s.onStartOrEnd(st, how)
	}
}

// reserve creates, renews or releases the reservation of one part of a span.
func (s *scheduler) reserve(now time.Time, r *wire.ReserveRequest) wire.ReserveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeUp()
	lease := s.scale.modelDuration(time.Duration(r.LeaseMs) * time.Millisecond)
	granted, free := s.model.Reserve(s.scale.model(now), jobID(r.Request, r.Attempt), r.Owner, r.Tokens, lease)
	return wire.ReserveResponse{Granted: granted, Free: free}
}

// report returns the load and the cache events for an announcement.
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

// busy reports whether any answer has not been delivered yet.
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

// freeze stops or resumes the engine model.
func (s *scheduler) freeze(now time.Time, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	speed := 1.0
	if frozen {
		speed = 0
	}
	s.model.SetSpeed(s.scale.model(now), speed)
	s.wakeUp()
}

func (s *scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
