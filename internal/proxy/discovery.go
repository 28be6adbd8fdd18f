package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// watchTimeout is how long discovery may hold a watch call open until there is a newer list. answerTimeout is how much later
	// the answer may come, and how long that of a fetch may take. What discovery has to tell counts as notified 2 s after
	// watchTimeout, and an agent that does not respond must have been noticed before: a longer wait would delay that.
	watchTimeout  = 2 * time.Second
	answerTimeout = 1 * time.Second
	// watchInterval is the least time from one watch call to the next: an agent that answers at once must not keep the
	// core busy. Discovery takes a call 200 ms after the last answer for a new watch.
	watchInterval = 100 * time.Millisecond
	// maxListBytes bounds an answer.
	maxListBytes = 4 << 20
)

// endpointUpdate is an answer of discovery for the loop, or the failure of a call.
type endpointUpdate struct {
	list endpointList
	err  error
	from *discoveryClient
	// began and ended place the call and its answer in the order of all calls and answers of this client.
	began, ended uint64
	applied      chan struct{} // closed once the loop has applied the update
}

// discoveryClient asks one discovery service for the list of endpoints and delivers the answers to the loop. Each call
// of watch or fetch runs on a goroutine of its own. After a failure it does not ask again by itself: when to do so is
// for the decision module to say.
type discoveryClient struct {
	url  string
	http *http.Client
	// revision is that of the list that the loop holds. The loop sets it: what the loop has not taken is asked for again.
	revision atomic.Uint64
	sequence atomic.Uint64 // counts calls and answers
	// deliver returns once the loop has applied the update.
	deliver func(endpointUpdate)
	// firstDelay is how long, a time.Duration, the next watch waits before its first call. That watch sets it to 0.
	firstDelay atomic.Int64
}

// newDiscoveryClient returns a client of the service at an address, for a loop that holds a list up to a revision.
func newDiscoveryClient(address string, revision uint64, deliver func(endpointUpdate)) *discoveryClient {
	d := &discoveryClient{
		url:     "http://" + address + "/v1/servers",
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		deliver: deliver,
	}
	d.revision.Store(revision)
	return d
}

// delayFirstCall has the next watch wait before its first call.
func (d *discoveryClient) delayFirstCall(delay time.Duration) { d.firstDelay.Store(int64(delay)) }

// watch follows the list until a call fails or ctx ends.
func (d *discoveryClient) watch(ctx context.Context) {
	select {
	case <-time.After(time.Duration(d.firstDelay.Swap(0))):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		nextCall := time.After(watchInterval)
		update := d.call(ctx, d.watchURL(), watchTimeout+answerTimeout)
		if update.err != nil {
			if ctx.Err() != nil {
				return
			}
			<-nextCall // on a failure the module may ask for a new watch at once
			d.deliver(update)
			return
		}
		d.deliver(update) // what has been notified counts, also where the watch was ended just then
		<-nextCall
	}
}

// watchURL is that of a call which waits for a list newer than the one that the loop holds.
func (d *discoveryClient) watchURL() string {
	return fmt.Sprintf("%s?since=%d&timeout_ms=%d", d.url, d.revision.Load(), watchTimeout.Milliseconds())
}

// fetch asks for the complete list once.
func (d *discoveryClient) fetch(ctx context.Context) {
	update := d.call(ctx, d.url, answerTimeout)
	if update.err == nil || ctx.Err() == nil {
		d.deliver(update)
	}
}

// call makes one call and returns its answer or failure.
func (d *discoveryClient) call(ctx context.Context, url string, timeout time.Duration) endpointUpdate {
	update := endpointUpdate{from: d, began: d.sequence.Add(1)}
	update.list, update.err = d.get(ctx, url, timeout)
	if update.err != nil {
		update.err = fmt.Errorf("discovery: %w", update.err)
	}
	update.ended = d.sequence.Add(1)
	return update
}

// get reads the list at a URL, its entries sorted by their IDs.
func (d *discoveryClient) get(ctx context.Context, url string, timeout time.Duration) (endpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var list endpointList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("answered %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return list, err
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return list, err
	}
	for i := range list.Members {
		if err := list.Members[i].validate(); err != nil {
			return list, err
		}
	}
	slices.SortFunc(list.Members, func(a, b endpointEntry) int { return strings.Compare(a.ID, b.ID) })
	return list, nil
}
