package proxy

import (
	"sync"
	"time"

	"sprucehill/internal/bodybudget"
)

const (
	// largeCopyBuffer and smallCopyBuffer are the sizes, in bytes, of the buffers through which bodies are streamed.
	largeCopyBuffer = 16 << 10
	smallCopyBuffer = 2 << 10
	// turnBytes is how many bytes of a body are streamed before the goroutine pauses. A goroutine whose connections are always
	// ready would otherwise keep the processor until it is preempted, and the network would be polled no more often. A part counts as
	// minPartBytes at least: parts of a body in tiny chunks cost as much as large ones.
	turnBytes    = 128 << 10
	minPartBytes = 4 << 10
	// minTurnPause is the pause while the processor is free, maxTurnPause bounds it.
	minTurnPause = 100 * time.Microsecond
	maxTurnPause = 20 * time.Millisecond
	// turnPausePerDelay is how much longer a pause is than the time for which the last one was exceeded, because other goroutines
	// had the processor: streams leave it to them.
	turnPausePerDelay = 2
)

// largeBuffers pools buffers of type *[largeCopyBuffer]byte.
var largeBuffers = sync.Pool{New: func() any { return new([largeCopyBuffer]byte) }}

// copyBuffer is the buffer through which one body is streamed. It is large while much data arrives and the budget has room: a
// stream that stops holds little. It is not safe for concurrent use. The caller has to call release.
type copyBuffer struct {
	budget      *bodybudget.Budget
	small       []byte                 // not an array, which would need room on the stacks of all attempts
	large       *[largeCopyBuffer]byte // reserved in budget; nil: small is in use
	muchArrived bool                   // by the last read
	turn        int                    // bytes since the last pause, as turnBytes counts them
	pause       time.Duration          // the next one
}

func newCopyBuffer(budget *bodybudget.Budget) *copyBuffer {
	return &copyBuffer{budget: budget, small: make([]byte, smallCopyBuffer), pause: minTurnPause}
}

// fill reads the next part of a body with read, and returns it. It stays valid until the next call.
func (b *copyBuffer) fill(read func(p []byte) (int, error)) (part []byte, err error) {
	p := b.next()
	n, err := read(p)
	b.muchArrived = n >= smallCopyBuffer/2
	b.turn += max(n, minPartBytes)
	if b.turn >= turnBytes {
		b.turn = 0
		b.endTurn()
	}
	return p[:n], err
}

// endTurn leaves the processor to other goroutines.
func (b *copyBuffer) endTurn() {
	began := time.Now()
	time.Sleep(b.pause)
	delay := time.Since(began) - b.pause
	b.pause = min(maxTurnPause, minTurnPause+turnPausePerDelay*delay)
}

// next returns the buffer for the next read.
func (b *copyBuffer) next() []byte {
	switch {
	case !b.muchArrived:
		b.release()
	case b.large == nil && b.budget.Reserve(largeCopyBuffer):
		b.large = largeBuffers.Get().(*[largeCopyBuffer]byte)
	}
	if b.large != nil {
		return b.large[:]
	}
	return b.small
}

// release returns the large buffer.
func (b *copyBuffer) release() {
	if b.large != nil {
		largeBuffers.Put(b.large)
		b.budget.Release(largeCopyBuffer)
		b.large = nil
	}
}
