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

// listRevision is the revision of the only endpoint list that the fake discovery serves.
const listRevision = 7

// endpoint is an entry of an endpointList.
type endpoint struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
}

// endpointList is a response of the fake discovery.
type endpointList struct {
	Revision uint64     `json:"revision"`
	Complete bool       `json:"complete"`
	Members  []endpoint `json:"members"`
}

// serveHTTP serves on an address until the test ends, and returns the address with the actual port.
func serveHTTP(t *testing.T, address string, handler http.HandlerFunc) (listenAddress string) {
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
			t.Errorf("HTTP server of the test: %v", err)
		}
	}()
	t.Cleanup(func() {
		server.Close()
		<-served
	})
	return listener.Addr().String()
}

// startFakeDiscovery starts a discovery server with one endpoint list that never changes.
func startFakeDiscovery(t *testing.T, address string, endpoints []endpoint) (listenAddress string) {
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

// startUpstreams starts an upstream on each address, the last of them in drainedZone, and returns their list entries.
func startUpstreams(t *testing.T, addresses []string, served *atomic.Int64) []endpoint {
	t.Helper()
	var endpoints []endpoint
	for i, address := range addresses {
		entry := startUpstream(t, i, address, func(w http.ResponseWriter, _ *http.Request) {
			served.Add(1)
			fmt.Fprint(w, "served")
		})
		if i == len(addresses)-1 {
			entry.Locality = drainedZone
		}
		endpoints = append(endpoints, entry)
	}
	return endpoints
}

// startUpstream starts the upstream with an index on an address, and returns its list entry.
func startUpstream(t *testing.T, index int, address string, handler http.HandlerFunc) endpoint {
	t.Helper()
	actual := serveHTTP(t, address, handler)
	return endpoint{ID: fmt.Sprintf("s-%08x", index+1), HostPort: actual, Locality: "z1", Phase: "up", Size: 1}
}

// sendRequest sends a request to a balancer, and returns an error unless it gets the response of an upstream.
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
		return fmt.Errorf("got %s with body %q, want 200 with body \"served\"", response.Status, body.String())
	}
	return nil
}

// waitFor waits until a condition holds, and fails the test after 20 s.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-timeout:
			t.Fatalf("not in time: %s", what)
		}
	}
}

// traffic sends requests continuously until it is stopped.
type traffic struct {
	answered atomic.Int64
	mu       sync.Mutex // guards failures
	failures []error
	stop     chan struct{}
	senders  sync.WaitGroup
}

// startTraffic starts a number of senders, each of which sends requests to a balancer one after the other.
func startTraffic(balancerAddress string, senders int) *traffic {
	tr := &traffic{stop: make(chan struct{})}
	var ids atomic.Uint64
	for range senders {
		tr.senders.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: processTimeout}
			defer client.CloseIdleConnections()
			tick := time.NewTicker(5 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-tr.stop:
					return
				case <-tick.C:
				}
				if err := sendRequest(client, balancerAddress, ids.Add(1)); err != nil {
					tr.mu.Lock()
					tr.failures = append(tr.failures, err)
					tr.mu.Unlock()
					continue
				}
				tr.answered.Add(1)
			}
		})
	}
	return tr
}

// waitForAnswers waits until a number of further requests have been answered.
func (tr *traffic) waitForAnswers(t *testing.T, answers int64) {
	t.Helper()
	goal := tr.answered.Load() + answers
	waitFor(t, fmt.Sprintf("%d more answers", answers), func() bool { return tr.answered.Load() >= goal })
}

// end stops the senders and returns the errors of failed requests.
func (tr *traffic) end() []error {
	close(tr.stop)
	tr.senders.Wait()
	return tr.failures
}
