package resume

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

var streamHead = Head{Status: 200, Type: "text/event-stream; charset=utf-8"}

// play lets a run send events with IDs, 0: without, and end in order. It returns the events that the caller gets.
func play(s *Stream, h Head, ids ...int64) ([]int64, error) {
	if err := s.Start(h); err != nil {
		return nil, err
	}
	var got []int64
	for _, id := range ids {
		wanted, err := s.Accept(Event{ID: id, HasID: id != 0, Size: 1})
		if err != nil {
			return got, err
		}
		if wanted {
			got = append(got, id)
		}
	}
	return got, s.End()
}

// Guards against runs that are joined to a stream, or end it, although they do not show that they go on with it, and
// against ones that are refused although they do.
func TestRunsGoOnWithAStream(t *testing.T) {
	second := func(ids ...int64) func() ([]int64, error) {
		return func() ([]int64, error) {
			var s Stream
			_, _ = play(&s, streamHead, 1, 2)
			return play(&s, streamHead, ids...)
		}
	}
	headed := func(first, next Head) func() ([]int64, error) {
		return func() ([]int64, error) {
			var s Stream
			_, _ = play(&s, first, 1, 2)
			return play(&s, next, 3)
		}
	}
	from := func(s Stream, h Head, ids ...int64) func() ([]int64, error) {
		return func() ([]int64, error) { return play(&s, h, ids...) }
	}
	untyped := Head{Status: 200}
	for name, test := range map[string]struct {
		play func() ([]int64, error)
		want []int64
		err  error
	}{
		"nothing follows":             {second(), nil, nil},
		"ends before":                 {second(1), nil, ErrEndsBefore},
		"ends with the last one":      {second(1, 2), nil, nil},
		"all":                         {second(1, 2, 3, 4), []int64{3, 4}, nil},
		"rest":                        {second(3, 4), []int64{3, 4}, nil},
		"skips some that are known":   {second(2, 3), []int64{3}, nil},
		"gap":                         {second(4), nil, ErrGap},
		"gap later":                   {second(3, 5), []int64{3}, ErrGap},
		"again":                       {second(3, 3), []int64{3}, ErrRepeated},
		"back":                        {second(3, 1), []int64{3}, ErrRepeated},
		"back among known ones":       {second(1, 2, 1), nil, ErrRepeated},
		"no ID":                       {second(0), nil, ErrUnplaced},
		"no ID after a known one":     {second(1, 0, 2, 3), []int64{3}, nil},
		"no ID after the last one":    {second(1, 2, 0), nil, ErrUnplaced},
		"no ID after the next one":    {second(3, 0, 4), []int64{3, 0, 4}, nil},
		"type without parameters":     {headed(streamHead, Head{Status: 200, Type: "Text/Event-Stream"}), []int64{3}, nil},
		"type not stated":             {headed(streamHead, untyped), []int64{3}, nil},
		"type stated later":           {headed(untyped, streamHead), []int64{3}, nil},
		"page":                        {headed(streamHead, Head{Status: 200, Type: "text/html"}), nil, ErrNoContinuation},
		"page after no type":          {headed(untyped, Head{Status: 200, Type: "text/html"}), nil, ErrNoContinuation},
		"the same other type":         {headed(Head{200, "a/b;c"}, Head{200, "a/b"}), []int64{3}, nil},
		"204":                         {headed(streamHead, Head{Status: 204}), nil, ErrNoContinuation},
		"200 after 201":               {headed(Head{Status: 201}, streamHead), nil, ErrNoContinuation},
		"201 after 201":               {headed(Head{Status: 201}, Head{Status: 201}), []int64{3}, nil},
		"caller has some":             {from(After(2, true, false), Head{Status: 201}, 1, 2, 3), []int64{3}, nil},
		"caller has some, no IDs":     {from(After(2, true, false), streamHead, 0, 3), []int64{0, 3}, nil},
		"caller has more":             {from(After(2, true, false), streamHead, 1), nil, ErrEndsBefore},
		"of another instance":         {from(After(2, true, true), streamHead, 3), []int64{3}, nil},
		"of another instance, 204":    {from(After(2, true, true), Head{Status: 204}), nil, ErrNoContinuation},
		"of another instance, no IDs": {from(After(0, false, true), streamHead), nil, ErrNoContinuation},
		"first run":                   {from(Stream{}, streamHead, 0, 7, 8), []int64{0, 7, 8}, nil},
		"first run again":             {from(Stream{}, streamHead, 1, 1), []int64{1}, ErrRepeated},
	} {
		if got, err := test.play(); !slices.Equal(got, test.want) || !errors.Is(err, test.err) {
			t.Errorf("%s: %v, %v, want %v, %v", name, got, err, test.want, test.err)
		}
	}
}

// Guards against an upstream that sends events again, whatever their number, for as long as a call lasts.
func TestRepeatedBytesAreBounded(t *testing.T) {
	s := After(100, true, false)
	_ = s.Start(streamHead)
	for id := range int64(10) {
		_, err := s.Accept(Event{ID: id, HasID: true, Size: 1 << 20})
		if want := id >= maxRepeatedBytes>>20; want != errors.Is(err, ErrRepeated) {
			t.Fatalf("event %d: %v", id, err)
		}
	}
}

// Guards against any events, in any order, of any runs that make a caller get one twice, miss one, or take a part for the
// whole of what one run has shown.
func TestCallersGetEachEventOnceInOrder(t *testing.T) {
	for seed := range uint64(5000) {
		random := rand.New(rand.NewPCG(seed, 1))
		var s Stream
		var got []int64
		shown, log := int64(0), ""
		for range 4 {
			ids := []int64{1 + int64(len(got))*random.Int64N(2)}
			for range random.IntN(6) {
				ids = append(ids, max(1, ids[len(ids)-1]+1-random.Int64N(8)/7*random.Int64N(4)))
			}
			more, err := play(&s, streamHead, ids...)
			got = append(got, more...)
			log += fmt.Sprint(ids, err, " ")
			if len(got) > 0 {
				shown = max(shown, slices.Max(got))
			}
			if err == nil && ids[len(ids)-1] < shown {
				t.Fatalf("seed %d: ends as complete after %s", seed, log)
			}
		}
		for n, id := range got {
			if id != got[0]+int64(n) {
				t.Fatalf("seed %d: the caller got %v from %s", seed, got, log)
			}
		}
	}
}
