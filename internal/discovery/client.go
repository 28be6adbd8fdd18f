package discovery

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
	// WatchTimeout is how long discovery may leave a watch call open until there is a newer list.
	WatchTimeout = 2 * time.Second
	// AnswerTimeout is how much later than WatchTimeout the answer may come, and how long that of a fetch may take. A change
	// of the list counts as notified 2 s after WatchTimeout. An agent that does not respond must be noticed before that.
	AnswerTimeout = 1 * time.Second
	// WatchInterval is the least time from one watch call to the next, for an agent that answers at once. Discovery takes a
	// call 200 ms after the last answer for a new watch.
	WatchInterval = 100 * time.Millisecond
	// maxListBytes bounds an answer.
	maxListBytes = 4 << 20
)

// Update is an answer of discovery, or the failure of a call. Whoever takes one from a Watcher has to call MarkApplied.
type Update struct {
	List List  // the answer; empty where the call failed
	Err  error // why the call failed; nil: it was answered

	from *client
	// began and ended place the call and its answer in the order of all calls and answers of this client.
	began, ended uint64
	applied      chan struct{} // closed by MarkApplied
}

// MarkApplied lets the call's goroutine go on. It must be called exactly once, when the update has been applied or ignored.
func (u Update) MarkApplied() { close(u.applied) }

// client calls one discovery service for the list of endpoints and delivers the answers to the owner. Each call of watch
// or fetch runs on a goroutine of its own. After a failure it does not call again by itself: when to do so is for the owner
// to say.
type client struct {
	url  string
	http *http.Client
	// revision is that of the owner's list. The owner sets it: what it has not applied is requested again.
	revision atomic.Uint64
	sequence atomic.Uint64 // counts calls and answers
	// deliver returns once the owner has applied the update.
	deliver func(Update)
	// firstDelay is how long, a time.Duration, the next watch waits before its first call. That watch sets it to 0.
	firstDelay atomic.Int64
}

// newClient returns a client of the service at an address, for an owner whose list is of a revision.
func newClient(address string, revision uint64, deliver func(Update)) *client {
	c := &client{
		url:     "http://" + address + "/v1/servers",
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		deliver: deliver,
	}
	c.revision.Store(revision)
	return c
}

// delayFirstCall has the next watch wait before its first call.
func (c *client) delayFirstCall(delay time.Duration) { c.firstDelay.Store(int64(delay)) }

// watch follows the list until a call fails or ctx ends.
func (c *client) watch(ctx context.Context) {
	select {
	case <-time.After(time.Duration(c.firstDelay.Swap(0))):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		nextCall := time.After(WatchInterval)
		update := c.call(ctx, c.watchURL(), WatchTimeout+AnswerTimeout)
		if update.Err != nil {
			if ctx.Err() != nil {
				return
			}
			<-nextCall // the owner may start a new watch at once
			c.deliver(update)
			return
		}
		c.deliver(update) // also where the watch was stopped just then: the list has been notified
		<-nextCall
	}
}

// watchURL is that of a call which waits for a list newer than the owner's.
func (c *client) watchURL() string {
	return fmt.Sprintf("%s?since=%d&timeout_ms=%d", c.url, c.revision.Load(), WatchTimeout.Milliseconds())
}

// fetch requests the complete list once.
func (c *client) fetch(ctx context.Context) {
	update := c.call(ctx, c.url, AnswerTimeout)
	if update.Err == nil || ctx.Err() == nil {
		c.deliver(update)
	}
}

// call makes one call and returns its answer or failure.
func (c *client) call(ctx context.Context, url string, timeout time.Duration) Update {
	update := Update{from: c, began: c.sequence.Add(1)}
	update.List, update.Err = c.get(ctx, url, timeout)
	if update.Err != nil {
		update.Err = fmt.Errorf("discovery: %w", update.Err)
	}
	update.ended = c.sequence.Add(1)
	return update
}

// get reads the list at a URL, its entries sorted by their IDs.
func (c *client) get(ctx context.Context, url string, timeout time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var list List
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("%s answered %s", req.URL.Host, resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return list, err
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return list, fmt.Errorf("%s: decoding the endpoint list: %w", req.URL.Host, err)
	}
	for i := range list.Members {
		if err := list.Members[i].Validate(); err != nil {
			return list, fmt.Errorf("%s: invalid endpoint list: %w", req.URL.Host, err)
		}
	}
	slices.SortFunc(list.Members, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return list, nil
}
