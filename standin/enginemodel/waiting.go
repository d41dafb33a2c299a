package enginemodel

import "container/heap"

// waiting is a heap of the tasks that wait for memory or a slot in the batch.
type waiting []*task

// Len implements heap.Interface.
func (w waiting) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiting) Less(i, j int) bool { return w[i].before(w[j]) }

// Swap implements heap.Interface.
func (w waiting) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push implements heap.Interface.
func (w *waiting) Push(x any) {
	t := x.(*task)
	t.index = len(*w)
	*w = append(*w, t)
}

// Pop implements heap.Interface.
func (w *waiting) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	last.index = notWaiting
	return last
}

func (w *waiting) add(t *task) { heap.Push(w, t) }

func (w *waiting) remove(t *task) { heap.Remove(w, t.index) }
