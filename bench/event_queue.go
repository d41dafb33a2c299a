package bench

import (
	"container/heap"
	"time"
)

// scheduledEvent is a function that runs at a virtual time.
type scheduledEvent struct {
	at       time.Duration
	sequence uint64 // events at the same time run in the order in which they were scheduled
	run      func()
}

// eventQueue is a heap of scheduled events, ordered by time.
type eventQueue struct {
	heap     []scheduledEvent
	sequence uint64
}

// Len implements heap.Interface.
func (e *eventQueue) Len() int { return len(e.heap) }

// Less implements heap.Interface.
func (e *eventQueue) Less(i, j int) bool {
	if e.heap[i].at == e.heap[j].at {
		return e.heap[i].sequence < e.heap[j].sequence
	}
	return e.heap[i].at < e.heap[j].at
}

// Swap implements heap.Interface.
func (e *eventQueue) Swap(i, j int) { e.heap[i], e.heap[j] = e.heap[j], e.heap[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { e.heap = append(e.heap, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := len(e.heap) - 1
	x := e.heap[last]
	e.heap[last] = scheduledEvent{}
	e.heap = e.heap[:last]
	return x
}

func (e *eventQueue) schedule(at time.Duration, run func()) {
	e.sequence++
	heap.Push(e, scheduledEvent{at: at, sequence: e.sequence, run: run})
}

func (e *eventQueue) next() (time.Duration, bool) {
	if len(e.heap) == 0 {
		return 0, false
	}
	return e.heap[0].at, true
}

func (e *eventQueue) dequeue() func() { return heap.Pop(e).(scheduledEvent).run }
