package hostile

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// ResponseGrace is how long after its deadline a request may be answered.
const ResponseGrace = 500 * time.Millisecond

// Measurement has what clients with a light load saw.
type Measurement struct {
	Latencies []time.Duration // of the requests that were answered 200, sorted
	Statuses  map[int]int     // answers by status; 0: none
	Late      int             // answers later than the grace after the deadline, and missing ones
}

// Quantile returns a quantile of the latencies, from 0 to 1, or 0 if there are none.
func (m Measurement) Quantile(q float64) time.Duration {
	if len(m.Latencies) == 0 {
		return 0
	}
	return m.Latencies[int(q*float64(len(m.Latencies)-1))]
}

// Total returns the number of requests.
func (m Measurement) Total() int {
	total := 0
	for _, count := range m.Statuses {
		total += count
	}
	return total
}

// LightLoad has a number of clients send requests, each on a connection of its own and one request in each interval, until the
// context ends. prefix begins the request IDs. A request that has begun is awaited.
// Answers that come later than grace after the deadline are late.
func LightLoad(ctx context.Context, address string, clients int, interval time.Duration, r Request, prefix string, grace time.Duration) Measurement {
	m := Measurement{Statuses: map[int]int{}}
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			client := lightClient{address: address, request: r}
			defer client.close()
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for sequence := 0; ; sequence++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				client.request.ID = fmt.Sprintf("%s%04x%06x", prefix, i, sequence)
				response := client.exchange()
				mu.Lock()
				m.add(response, r.Deadline+grace)
				mu.Unlock()
			}
		})
	}
	running.Wait()
	slices.Sort(m.Latencies)
	return m
}

// add records an answer, which is late after the given time.
func (m *Measurement) add(response Response, lateAfter time.Duration) {
	m.Statuses[response.Status]++
	if response.Status == http.StatusOK && response.Err == nil {
		m.Latencies = append(m.Latencies, response.Elapsed)
	}
	if response.Elapsed > lateAfter || response.Err != nil {
		m.Late++
	}
}

// lightClient sends one request at a time on a persistent connection.
type lightClient struct {
	address string
	request Request
	conn    *Client
}

// exchange sends the request, on a new connection if the last one has been closed, and reads its answer. A request that crosses
// the close of its connection is sent once more, as the protocol has it.
func (l *lightClient) exchange() Response {
	reused := l.conn != nil
	response := l.exchangeOnce()
	if reused && response.Status == 0 && response.Elapsed < l.request.Deadline {
		l.close()
		response = l.exchangeOnce()
	}
	if response.Err != nil {
		l.close()
	}
	return response
}

// exchangeOnce sends the request and waits for its answer.
func (l *lightClient) exchangeOnce() Response {
	began := time.Now()
	if l.conn == nil {
		conn, err := Dial(context.Background(), l.address)
		if err != nil {
			return Response{Elapsed: time.Since(began), Err: err}
		}
		l.conn = conn
	}
	if _, err := l.conn.Write(l.request.Bytes()); err != nil {
		return Response{Elapsed: time.Since(began), Err: err}
	}
	response := l.conn.Receive(l.request.Deadline + 4*ResponseGrace)
	response.Elapsed = time.Since(began)
	return response
}

func (l *lightClient) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}
