package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// listRevision is the revision of the only list that the stand-in agent has.
const listRevision = 7

// endpoint is an entry of the stand-in agent's list.
type endpoint struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
}

// endpointList is an answer of the stand-in agent.
type endpointList struct {
	Revision uint64     `json:"revision"`
	Complete bool       `json:"complete"`
	Members  []endpoint `json:"members"`
}

// serveHTTP serves at an address until the test ends.
func serveHTTP(t *testing.T, address string, handler http.HandlerFunc) (actual string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("stand-in server: %v", err)
		}
	}()
	t.Cleanup(func() {
		server.Close()
		<-served
	})
	return listener.Addr().String()
}

// startAgent starts a stand-in discovery agent, which has one list and no news.
func startAgent(t *testing.T, address string, endpoints []endpoint) (actual string) {
	t.Helper()
	return serveHTTP(t, address, func(w http.ResponseWriter, r *http.Request) {
		answer := endpointList{Revision: listRevision, Complete: true, Members: endpoints}
		if r.URL.Query().Get("since") == strconv.Itoa(listRevision) {
			answer = endpointList{Revision: listRevision, Members: []endpoint{}}
			wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		text, err := json.Marshal(answer)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(w, "%s", text)
	})
}

// startUpstreams starts an upstream at each address, the last of them in leftZone, and returns their entries for the list.
func startUpstreams(t *testing.T, addresses []string, served *atomic.Int64) []endpoint {
	t.Helper()
	var endpoints []endpoint
	for i, address := range addresses {
		entry := startUpstream(t, i, address, func(w http.ResponseWriter, _ *http.Request) {
			served.Add(1)
			fmt.Fprint(w, "served")
		})
		if i == len(addresses)-1 {
			entry.Locality = leftZone
		}
		endpoints = append(endpoints, entry)
	}
	return endpoints
}

// startUpstream starts the upstream of an index at an address, and returns its entry for the list.
func startUpstream(t *testing.T, index int, address string, handler http.HandlerFunc) endpoint {
	t.Helper()
	actual := serveHTTP(t, address, handler)
	return endpoint{ID: fmt.Sprintf("s-%08x", index+1), HostPort: actual, Locality: "z1", Phase: "up", Size: 1}
}

// sendRequest sends a request to a balancer. An error says what else than the upstream's answer came.
func sendRequest(client *http.Client, balancerAddress string, id uint64) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+balancerAddress+"/c/x", nil)
	if err != nil {
		return err
	}
	request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", id))
	request.Header.Set("X-Class", "c")
	request.Header.Set("X-Deadline-Ms", "750")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || body.String() != "served" {
		return fmt.Errorf("answered %s, %q", response.Status, body.String())
	}
	return nil
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.After(20 * time.Second)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("not in time: %s", what)
		}
	}
}

// traffic sends requests without a pause until it is stopped.
type traffic struct {
	answered atomic.Int64
	mu       sync.Mutex
	failures []error
	stop     chan struct{}
	senders  sync.WaitGroup
}

// startTraffic starts senders to a balancer's address.
func startTraffic(balancerAddress string, senders int) *traffic {
	x := &traffic{stop: make(chan struct{})}
	var ids atomic.Uint64
	for range senders {
		x.senders.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: processTimeout}
			defer client.CloseIdleConnections()
			tick := time.NewTicker(5 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-x.stop:
					return
				case <-tick.C:
				}
				if err := sendRequest(client, balancerAddress, ids.Add(1)); err != nil {
					x.mu.Lock()
					x.failures = append(x.failures, err)
					x.mu.Unlock()
					continue
				}
				x.answered.Add(1)
			}
		})
	}
	return x
}

// waitForMore waits for so many answers from now on.
func (x *traffic) waitForMore(t *testing.T, answers int64) {
	t.Helper()
	goal := x.answered.Load() + answers
	waitFor(t, fmt.Sprintf("%d answers more", answers), func() bool { return x.answered.Load() >= goal })
}

// end stops the senders and returns what failed.
func (x *traffic) end() []error {
	close(x.stop)
	x.senders.Wait()
	return x.failures
}
