package balancer_test

import (
	"fmt"
	"time"

	"sprucehill/balancer"
)

// proxy carries out what the balancer decides; the embedded Host stands for the actions not shown.
type proxy struct{ balancer.Host }

func (proxy) Send(id balancer.RequestID, up balancer.UpstreamID, timeout time.Duration) {
	fmt.Printf("request %d goes to upstream %d\n", id, up)
}

func (proxy) SetTimer(after time.Duration, token uint64) {} // call b.Timer(now, token) when it is due

func Example() {
	settings := balancer.Settings{
		Balancers: 1,
		Classes: []balancer.Class{{Name: "lookup", Aim: 300 * time.Millisecond,
			Deadline: time.Second, Repeat: balancer.Safe, Worth: 1}},
		Limits: balancer.Limits{MaxAttempts: 3, Cancel: true},
		Rules: balancer.Rules{ColdFrom: 0.3, RampTime: 9 * time.Second,
			TipMultiple: 3, TipAfter: 2 * time.Second},
	}
	b, err := balancer.New(settings, 1, 0, proxy{})
	if err != nil {
		panic(err)
	}
	b.Members(0, balancer.ListFull, []balancer.Upstream{{ID: 7, Weight: 1}})
	b.Request(time.Millisecond, balancer.Request{ID: 1, Class: "lookup", Budget: time.Second})
	b.Outcome(21*time.Millisecond, balancer.Outcome{ID: 1, Upstream: 7, Latency: 20 * time.Millisecond,
		Status: balancer.OK, Closed: true})
	// Output: request 1 goes to upstream 7
}
