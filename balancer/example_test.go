package balancer_test

import (
	"fmt"
	"time"

	"sprucehill/balancer"
)

// proxy carries out the decisions of the balancer. It embeds Effects for the methods that the example does not use.
type proxy struct{ balancer.Effects }

func (proxy) Send(id balancer.RequestID, endpoint balancer.EndpointID, _ time.Duration) {
	fmt.Printf("request %d goes to endpoint %d\n", id, endpoint)
}

// SetTimer does nothing here. A real owner calls Balancer.OnTimer with the token when the time is over.
func (proxy) SetTimer(time.Duration, uint64) {}

func Example() {
	settings := balancer.Settings{
		Balancers: 1,
		Classes: []balancer.Class{{
			Name:             "lookup",
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         time.Second,
			Idempotency:      balancer.Idempotent,
			PriorityWeight:   1,
		}},
		Limits: balancer.Limits{MaxAttempts: 3, AllowCancel: true},
		Obligations: balancer.Obligations{
			SlowStartFrom:    0.3,
			SlowStartWindow:  9 * time.Second,
			OverloadMultiple: 3,
			OverloadWindow:   2 * time.Second,
		},
	}
	b, err := balancer.New(settings, 1, 0, proxy{})
	if err != nil {
		panic(err)
	}
	b.OnEndpointUpdate(0, balancer.UpdateComplete, []balancer.Endpoint{{ID: 7, Weight: 1}})
	b.OnRequest(time.Millisecond, balancer.Request{ID: 1, Class: "lookup", Timeout: time.Second})
	b.OnAttemptResult(21*time.Millisecond, balancer.AttemptResult{
		ID:            1,
		Endpoint:      7,
		Latency:       20 * time.Millisecond,
		Status:        balancer.OK,
		RequestClosed: true,
	})
	// Output: request 1 goes to endpoint 7
}
