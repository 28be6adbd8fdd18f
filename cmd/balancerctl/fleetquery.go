package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// fleetQuery is the arguments of the commands that query several balancers.
type fleetQuery struct {
	Addresses []string      `arg:"" help:"Management addresses of balancers, host:port."`
	Watch     time.Duration `help:"Show it anew after each such time, until interrupted."`
	JSON      bool          `name:"json" help:"Write it as JSON."`
}

// fleetReport is how a command queries one balancer, and shows and judges the results of all.
type fleetReport[T any] struct {
	query func(ctx context.Context, address string) T
	show  func(w io.Writer, results []T)
	check func(results []T) error
}

// run queries the balancers, shows the results and returns what check says of them. With an interval to watch it repeats
// that until ctx ends, and returns an error only if the results can't be written.
func (r fleetReport[T]) run(ctx context.Context, q fleetQuery) error {
	for {
		results := queryAll(ctx, q.Addresses, r.query)
		if err := r.write(results, q); err != nil {
			return err
		}
		if q.Watch <= 0 {
			return r.check(results)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(q.Watch):
			fmt.Println()
		}
	}
}

// write writes results to standard output, as tables or as JSON.
func (r fleetReport[T]) write(results []T, q fleetQuery) error {
	if q.JSON {
		return writeJSON(results)
	}
	r.show(os.Stdout, results)
	return nil
}

// queryAll queries all balancers at once, so that one that does not answer does not delay the others. The results are in
// the order of the addresses.
func queryAll[T any](ctx context.Context, addresses []string, query func(ctx context.Context, address string) T) []T {
	results := make([]T, len(addresses))
	var queries sync.WaitGroup
	for i, address := range addresses {
		queries.Go(func() { results[i] = query(ctx, address) })
	}
	queries.Wait()
	return results
}
