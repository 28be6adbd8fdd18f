package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"sprucehill/internal/bodybudget"
)

const (
	// WatchTimeout is how long the service may hold a watch call open until there is a newer list.
	WatchTimeout = 2 * time.Second
	// ResponseTimeout is how long a response to a fetch and, from the end of WatchTimeout, to a watch call may take before the
	// call counts as overdue. The service counts a change of the list as delivered 2 s after WatchTimeout, so another call has
	// to be made earlier, in case the response never comes.
	ResponseTimeout = 1 * time.Second
	// WatchInterval is the minimum time from the start of one watch call to the next, for an agent that responds at once. The
	// service counts a call that comes 200 ms after the last response as a new watch.
	WatchInterval = 100 * time.Millisecond
	// callTimeout is how long a call, overdue or not, waits for the last byte of its response.
	callTimeout = 15 * time.Second
	// maxCallsBesideOthers is the number of calls in progress from which on the answer to an older call is not followed by another
	// call. Calls beside overdue ones are at least WatchTimeout+ResponseTimeout apart, and end after callTimeout. So twice as many
	// calls are in progress at most.
	maxCallsBesideOthers = int(callTimeout/(WatchTimeout+ResponseTimeout)) + 1
	// maxListBytes bounds the bodies of all responses that are being read.
	maxListBytes = 4 << 20
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 16 << 10
)

var (
	// ErrOverdue is the error of an Update that reports an overdue call. The call is still in progress.
	ErrOverdue = errors.New("discovery: no response in time, still waiting for it")
	// errListTooLarge is the error of a call whose response does not fit into maxListBytes.
	errListTooLarge = errors.New("the endpoint list is too large")
)

// Update is the response to a call, its failure, or the report that it is overdue. Whoever receives one from a Watcher has to
// call Watcher.Handle.
type Update struct {
	List    List          // the response; empty if the call failed
	Err     error         // why the call failed; ErrOverdue if it has not yet; nil if it was answered
	Elapsed time.Duration // from the start of the call

	source *client
	// since is the revision that the changes in the response are relative to.
	since uint64
	// startSequence and endSequence order the call and its response among all calls and responses of the client.
	startSequence, endSequence uint64
	applied                    chan struct{} // closed by markApplied
}

// markApplied unblocks the goroutine of the call. It must be called exactly once, when the update has been applied or
// ignored.
func (u Update) markApplied() { close(u.applied) }

// isLate reports whether the response came after its call had been reported as overdue.
func (u Update) isLate() bool { return u.Err == nil && u.Elapsed > WatchTimeout+ResponseTimeout }

// client calls one discovery service for the endpoint list and delivers the responses to the owner. A failed call is not
// retried: that is up to the owner. Its methods may be called from any goroutine.
type client struct {
	url  string
	http *http.Client
	// bodies bounds the memory of the responses that are being read.
	bodies *bodybudget.Budget
	// revision is that of the list that the owner has applied. The owner sets it, so that a list which it has not applied is
	// requested again.
	revision     atomic.Uint64
	lastSequence atomic.Uint64 // counts calls and responses
	// deliver passes an update to the owner, and returns once the owner has applied it.
	deliver func(Update)
	// firstDelay is the time.Duration that the next watch waits before its first call. That watch resets it to 0.
	firstDelay atomic.Int64
}

// newClient returns a client of the service at an address (host:port), for an owner that has applied the given revision.
func newClient(address string, revision uint64, deliver func(Update)) *client {
	c := &client{
		url:     "http://" + address + "/v1/servers",
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxResponseHeaderBytes: maxHeadBytes}},
		bodies:  bodybudget.New(maxListBytes),
		deliver: deliver,
	}
	c.revision.Store(revision)
	return c
}

// delayFirstCall delays the first call of the next watch.
func (c *client) delayFirstCall(delay time.Duration) { c.firstDelay.Store(int64(delay)) }

// watchURL returns the URL of a call that waits for a list newer than a revision.
func (c *client) watchURL(since uint64) string {
	return fmt.Sprintf("%s?since=%d&timeout_ms=%d", c.url, since, WatchTimeout.Milliseconds())
}

// fetch requests the complete list once, and delivers it or the failure. An overdue fetch is reported, and continues.
func (c *client) fetch(ctx context.Context) {
	overdue := time.AfterFunc(ResponseTimeout, func() { c.deliver(c.overdueUpdate(ResponseTimeout)) })
	update := c.call(ctx, c.url, 0)
	reported := !overdue.Stop()
	if update.Err == nil || !reported && ctx.Err() == nil {
		c.deliver(update)
	}
}

// overdueUpdate returns the report of an overdue call.
func (c *client) overdueUpdate(elapsed time.Duration) Update {
	return Update{source: c, Err: ErrOverdue, Elapsed: elapsed}
}

// call makes one call for the changes since a revision, or for the complete list if that is 0, and returns its response or
// failure.
func (c *client) call(ctx context.Context, url string, since uint64) Update {
	startedAt := time.Now()
	update := Update{source: c, since: since, startSequence: c.lastSequence.Add(1)}
	update.List, update.Err = c.get(ctx, url)
	if update.Err != nil {
		update.Err = fmt.Errorf("discovery: %w", update.Err)
	}
	update.Elapsed = time.Since(startedAt)
	update.endSequence = c.lastSequence.Add(1)
	return update
}

// get requests the list at a URL and returns it with its entries valid and sorted by ID.
func (c *client) get(ctx context.Context, url string) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
		return list, fmt.Errorf("%s responded %s", req.URL.Host, resp.Status)
	}
	body := budgetedReader{source: resp.Body, budget: c.bodies}
	defer body.release()
	text, err := io.ReadAll(&body)
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

// budgetedReader reserves the bytes that it reads in a budget. It fails with errListTooLarge if they don't fit.
type budgetedReader struct {
	source   io.Reader
	budget   *bodybudget.Budget
	reserved int // bytes
}

// Read implements io.Reader.
func (r *budgetedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if !r.budget.Reserve(n) {
		return 0, errListTooLarge
	}
	r.reserved += n
	return n, err
}

// release returns the reserved bytes to the budget.
func (r *budgetedReader) release() { r.budget.Release(r.reserved) }
