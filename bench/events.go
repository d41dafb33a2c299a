package bench

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64 // events of one time happen in the order of their planning
	run      func()
}

// events is the heap of planned events.
type events struct {
	list     []event
	sequence uint64
}

// Len implements heap.Interface.
func (e *events) Len() int { return len(e.list) }

// Less implements heap.Interface.
func (e *events) Less(i, j int) bool {
	if e.list[i].at == e.list[j].at {
		return e.list[i].sequence < e.list[j].sequence
	}
	return e.list[i].at < e.list[j].at
}

// Swap implements heap.Interface.
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { e.list = append(e.list, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(e.list) - 1
	x := e.list[last]
	e.list[last] = event{}
	e.list = e.list[:last]
	return x
}

func (e *events) plan(at time.Duration, run func()) {
	e.sequence++
	heap.Push(e, event{at: at, sequence: e.sequence, run: run})
}

func (e *events) next() (time.Duration, bool) {
	if len(e.list) == 0 {
		return 0, false
	}
	return e.list[0].at, true
}

func (e *events) take() func() { return heap.Pop(e).(event).run }
