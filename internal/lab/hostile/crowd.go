package hostile

import (
	"context"
	"sync"
	"time"
)

// Crowd runs a number of clients at once, and returns how many got each status.
func Crowd(clients int, exchange func(index int) Response) map[int]int {
	statuses := make(map[int]int)
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			response := exchange(i)
			mu.Lock()
			defer mu.Unlock()
			statuses[response.Status]++
		})
	}
	running.Wait()
	return statuses
}

// StalledRequest sends the first bytes of a request and keeps the connection open, without sending more, until the balancer answers
// or closes it, for at most the given time.
func StalledRequest(ctx context.Context, address string, r Request, sent int, limit time.Duration) Response {
	return exchangeBytes(ctx, address, r.Prefix(sent), limit)
}
