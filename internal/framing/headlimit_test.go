package framing

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"sprucehill/internal/lab/hostile"
)

// chargedBytes is a budget without a bound that records what it is charged.
type chargedBytes struct{ total int }

func (b *chargedBytes) Reserve(bytes int) bool { b.total += bytes; return true }
func (b *chargedBytes) Release(bytes int)      { b.total -= bytes }

// textConn is a connection on which a text arrives.
type textConn struct {
	net.Conn
	text *strings.Reader
}

func (c textConn) Read(p []byte) (int, error) { return c.text.Read(p) }

// heldHead is what is held of a head while its request is forwarded.
type heldHead struct {
	parsed  *http.Request
	attempt []byte
}

// heapBytes returns the size of all reachable objects.
func heapBytes() int {
	runtime.GC()
	runtime.GC() // the second one frees what finalizers and pools still held
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// A head that costs more than it is charged lets many of them exceed the memory limit: those of few, long fields did.
func TestHeadIsChargedForWhatItHolds(t *testing.T) {
	const (
		heads = 100
		// roundingPercent is how much the allocator may add to a size.
		roundingPercent = 20
		uncharged       = 4 << 10
	)
	for name, request := range map[string]hostile.Request{
		"long fields":       {FieldCount: 2, FieldBytes: 7000},
		"one long field":    {FieldCount: 1, FieldBytes: 15000},
		"medium fields":     {FieldCount: 14, FieldBytes: 1000},
		"many short fields": {FieldCount: 240, FieldBytes: 50},
		"very short fields": {FieldCount: 250, FieldBytes: 1},
		"a plain head":      {FieldCount: 8, FieldBytes: 30},
		"just over a page":  {FieldCount: 3, FieldBytes: 1400},
	} {
		t.Run(name, func(t *testing.T) {
			text := string(request.Head())
			budget := &chargedBytes{}
			held := make([]heldHead, heads)
			before := heapBytes()
			for i := range held {
				c := NewConn(textConn{text: strings.NewReader(text)}, func() time.Duration { return 0 }, failureTimeout)
				c.head.limits = HeadLimits{Uncharged: uncharged, Budget: budget}
				parsed, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					t.Fatal(err)
				}
				held[i] = heldHead{parsed: parsed, attempt: []byte(text)}
			}
			cost := (heapBytes() - before) / heads
			charged := uncharged + budget.total/heads
			t.Logf("a head of %d bytes holds %d, charged or free %d", len(text), cost, charged)
			if cost*100 > charged*(100+roundingPercent) {
				t.Errorf("a head holds %d bytes, over %d that are charged or free", cost, charged)
			}
			runtime.KeepAlive(held)
		})
	}
}
